//! A flow that has ended.

use std::time::Duration;

use crate::Priority;

/// A flow that has ended, and what is known about its upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedFlow {
    pub(crate) priority: Priority,
    /// Time since its first packet.
    pub(crate) duration: Duration,
    /// Whether its upstream is in the entry's own failure domain.
    pub(crate) is_local: bool,
    /// Whether the fleet observes its upstream as slow. The duration of the flow then says
    /// nothing about queues at other upstreams.
    pub(crate) is_at_slow_upstream: bool,
}
