//! A doubt that was raised or ended.

use std::time::Instant;

use crate::TargetKey;

/// A doubt that something answers, which was raised or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// What is or was doubted.
    pub of: Doubted,
    /// Until when it is avoided; nothing once it has answered again.
    pub until: Option<Instant>,
}

/// What can be doubted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubted {
    /// An upstream that left a first packet unanswered.
    Upstream(TargetKey),
    /// A failure domain of which several upstreams are silent.
    Domain(Box<str>),
}
