//! Requests to accept a site file, and their answers.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, Revision, RevisionId, VoterId};

/// Asks to replace one revision by a new site file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The revision that the operator read.
    pub base: RevisionId,
    /// The whole new site file.
    pub text: Arc<str>,
}

/// Asks to put a file in force under a version that its author chose.
///
/// The highest version wins, whatever it was written upon: this is for sites
/// whose operators number their files themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRequest {
    /// The version, which becomes the revision.
    pub version: Revision,
    /// The whole new site file.
    pub text: Arc<str>,
}

impl VersionedRequest {
    /// Returns the digest of the new text.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.text)
    }
}

impl ApplyRequest {
    /// Returns the digest of the new text.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.text)
    }
}

/// What became of an [`ApplyRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyAnswer {
    /// The file is the given revision and stays part of the history.
    Accepted(Revision),
    /// This very change was accepted earlier and was not applied again.
    AlreadyAccepted(Revision),
    /// A higher version, given here, is in force, so this one changed nothing.
    Superseded(Revision),
    /// Another change was accepted upon the same base; nothing was applied.
    Conflict(RevisionId),
    /// Nothing was applied and nothing will be.
    Refused(RefuseReason),
    /// The change may or may not be accepted later; `status` settles it.
    Unknown,
}

/// Why a replica applied nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RefuseReason {
    /// this control VM does not lead
    NotLeader {
        /// Who leads, as far as this one knows.
        leader: Option<VoterId>,
    },
    /// this control VM leads but holds no lease: it can't reach a quorum
    NoLease,
    /// too many changes are waiting
    Busy,
    /// the file is larger than the limit
    TooLarge,
}
