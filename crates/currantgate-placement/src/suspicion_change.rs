//! Changes of suspicions, for the log.

use std::time::Instant;

use crate::TargetKey;

/// The start or the end of a suspicion that an upstream or a failure domain does not
/// answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// What is or was suspected.
    pub suspect: Suspect,
    /// End of the time of avoidance; nothing when an answer has ended the suspicion.
    pub until: Option<Instant>,
}

/// What a suspicion is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Suspect {
    /// An upstream that left a first packet unanswered.
    Upstream(TargetKey),
    /// A failure domain of which several upstreams left first packets unanswered.
    Domain(Box<str>),
}
