//! Upstreams as the input of placement, and its result.

use std::time::Instant;

/// Identifies an upstream among those of one entry.
pub type TargetKey = u32;

/// Upstream that was chosen for a flow, with the values behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// The chosen upstream.
    pub key: TargetKey,
    /// Number of this entry's open flows there, the new one included.
    pub flows: u32,
    /// Load that the choice was based on, in flows per slot, with the penalty for
    /// another failure domain.
    pub load: f64,
    /// Whether the upstream is suspect or does not report, as no healthy one was
    /// available.
    pub is_unhealthy: bool,
}

/// An upstream that may get new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identifies the upstream.
    pub key: TargetKey,
    /// Service of the upstream.
    pub service: Box<str>,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Whether that is the failure domain of this entry.
    pub is_local: bool,
    /// Number of requests that the upstream works on concurrently.
    pub slots: u32,
    /// Time at which the upstream is warm and reaches its full speed.
    pub warm_at: Instant,
    /// Whether reports of the upstream arrive; if not, it is the last choice.
    pub is_reporting: bool,
}
