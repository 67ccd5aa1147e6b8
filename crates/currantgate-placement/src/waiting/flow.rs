//! A flow that waits.

use std::time::{Duration, Instant};

use crate::{PlacementRequest, Priority};

/// A flow that waits. `K` identifies it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingFlow<K> {
    /// Identification of the flow.
    pub key: K,
    /// Service that the flow is for.
    pub service: Box<str>,
    /// Priority of the flow under overload.
    pub priority: Priority,
    /// Time within which an answer is of full value to the caller.
    pub latency_target: Duration,
    /// Length of its first packet.
    pub bytes: usize,
    /// Time at which the first packet was received.
    pub arrived: Instant,
    /// Time from which the flow would miss its latency target: it is refused then.
    pub deadline: Instant,
    /// Whether it can't be answered within its latency target any more, as its caller has
    /// waited that long already. An upstream may have answered an earlier copy of its first
    /// packet, so that it is never refused with a reset.
    pub is_late: bool,
    /// Whether a retransmission of the first packet has arrived meanwhile.
    pub is_retransmitted: bool,
}

impl<K> WaitingFlow<K> {
    /// Returns the request to place the flow. It is not refused as a new flow would be: it
    /// has been counted as an arrival, and leaves only when there is room for it.
    pub fn request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.service,
            priority: self.priority,
            latency_target: self.latency_target,
            may_refuse: false,
            tried: &[],
        }
    }
}
