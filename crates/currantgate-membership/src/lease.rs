//! How long an announcement holds.

use std::time::Instant;

/// How long an announcement holds without being renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The instant at which the upstream stops getting new flows.
    pub deadline: Instant,
}
