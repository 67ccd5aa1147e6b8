//! An upstream as placement sees it.

use std::time::Instant;

/// Names one upstream among those of an entry.
pub type Key = u32;

/// An upstream as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Which upstream it is.
    pub key: Key,
    /// The service that it serves.
    pub service: Box<str>,
    /// The failure domain that it stands in.
    pub domain: Box<str>,
    /// Whether that is the entry's own.
    pub is_near: bool,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// When it is no longer slow from its start.
    pub warm_at: Instant,
    /// Whether reports of it still come; without, it is the last resort.
    pub is_heard: bool,
}
