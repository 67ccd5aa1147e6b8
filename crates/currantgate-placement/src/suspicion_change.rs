//! A doubt that was raised or ended.

use std::time::Instant;

use crate::TargetKey;

/// A doubt that something answers, which was raised or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// What is or was doubted.
    pub suspect: Suspect,
    /// Until when it is avoided; nothing once it has answered again.
    pub until: Option<Instant>,
}

/// What can be doubted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Suspect {
    /// An upstream that left a first packet unanswered.
    Upstream(TargetKey),
    /// A failure domain of which several upstreams are silent.
    Domain(Box<str>),
}
