//! Requests to change the site file, and their answers.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, Revision, RevisionId, VoterId};

/// A request to replace a given revision by a new site file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The revision that the new file is based on.
    pub base: RevisionId,
    /// The whole new site file.
    pub text: Arc<str>,
}

/// A request to put a site file in force under a version chosen by its author.
///
/// The highest version wins, regardless of the revision that the file is based
/// on. This is for sites whose operators number their files themselves.
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

/// The answer to an [`ApplyRequest`] or a [`VersionedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyAnswer {
    /// The file was accepted as the given revision.
    Accepted(Revision),
    /// The same change was accepted before, as the given revision, and was not
    /// applied again.
    AlreadyAccepted(Revision),
    /// Nothing was applied, as the given higher version is in force.
    Superseded(Revision),
    /// Nothing was applied, as another file was accepted on top of the same base
    /// or under the same version. Its id is given, or that of the revision in
    /// force if the history no longer contains it.
    Conflict(RevisionId),
    /// Nothing was applied, and nothing will be.
    Refused(RefuseReason),
    /// The change may have been accepted or may be accepted later. The status
    /// shows whether it was.
    Unknown,
}

/// Why a replica refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RefuseReason {
    /// this control VM is not the leader
    NotLeader {
        /// The id of the leader, if it is known.
        leader: Option<VoterId>,
    },
    /// this control VM is the leader but has no lease, as it can't reach a quorum
    NoLease,
    /// too many changes are in progress
    Busy,
    /// the file is larger than the limit
    TooLarge,
}
