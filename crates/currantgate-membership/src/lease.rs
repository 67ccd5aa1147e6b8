//! Lease of an upstream.

use std::time::Instant;

/// Lease that an announcement grants until it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Instant at which it expires and the upstream gets no more new flows.
    pub deadline: Instant,
}
