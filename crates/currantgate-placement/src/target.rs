//! An upstream as placement sees it.

use std::time::Instant;

/// Names one upstream among those of an entry.
pub type TargetKey = u32;

/// Where a flow was placed, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// The upstream.
    pub key: TargetKey,
    /// The flows that this entry has there, with the new one.
    pub flows: u32,
    /// The flows a slot that decided, with what the way there counts.
    pub load: f64,
    /// Whether nothing better than a doubtful upstream was left.
    pub is_unhealthy: bool,
}

/// An upstream as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Which upstream it is.
    pub key: TargetKey,
    /// The service that it serves.
    pub service: Box<str>,
    /// The failure domain that it stands in.
    pub domain: Box<str>,
    /// Whether that is the entry's own.
    pub is_local: bool,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// When it is no longer slow from its start.
    pub warm_at: Instant,
    /// Whether reports of it still come; without, it is the last resort.
    pub is_reporting: bool,
}
