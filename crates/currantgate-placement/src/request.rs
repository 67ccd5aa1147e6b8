//! Requests to place a new flow.

use std::time::Duration;

use crate::{Priority, TargetKey};

/// A request to place a new flow.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the flow is for.
    pub service: &'a str,
    /// Priority of the flow under overload.
    pub priority: Priority,
    /// Time within which an answer is of full value to the caller.
    pub latency_target: Duration,
    /// Whether the flow may be refused under overload. It may not when an upstream
    /// may have answered an earlier copy of its first packet, as a refusal would
    /// reset the flow.
    pub may_refuse: bool,
    /// Upstreams that left the flow's first packet unanswered.
    pub tried: &'a [TargetKey],
}
