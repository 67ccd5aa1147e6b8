//! Changes of the site file, and the ids of their revisions.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, Revision};

/// A revision and the digest of its site file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{revision}@{digest}")]
pub struct RevisionId {
    /// The revision.
    pub revision: Revision,
    /// The digest of the site file, which distinguishes equal revisions of
    /// different sites.
    pub digest: Digest,
}

impl RevisionId {
    /// Returns the id of revision 0, the empty file before the first change.
    pub fn empty() -> Self {
        Self {
            revision: 0,
            digest: Digest::of(""),
        }
    }
}

/// A new site file, as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision of the new file.
    pub revision: Revision,
    /// The digest of the new file.
    pub digest: Digest,
    /// The id of the revision that the change replaces.
    pub base: RevisionId,
    /// The new site file, byte for byte.
    pub text: Arc<str>,
}

impl Change {
    /// Returns the id of the revision that the change makes.
    pub fn revision_id(&self) -> RevisionId {
        RevisionId {
            revision: self.revision,
            digest: self.digest,
        }
    }
}
