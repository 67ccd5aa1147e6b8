//! Arrival of a flow that can't be answered in time any more.

use std::time::Instant;

/// A flow that can't be answered within its latency target any more, as the number of times
/// that its first packet was sent tells. `K` identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateFlow<K> {
    /// Identification of the flow.
    pub key: K,
    /// Length of its first packet.
    pub bytes: usize,
    /// Time at which its caller gives up.
    pub given_up_at: Instant,
}
