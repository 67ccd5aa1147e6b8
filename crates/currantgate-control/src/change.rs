//! Accepted site files.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, Revision};

/// The revision that a change was read at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{revision}@{digest}")]
pub struct RevisionId {
    /// The revision.
    pub revision: Revision,
    /// The digest of its text, which tells revisions of other sites apart.
    pub digest: Digest,
}

impl RevisionId {
    /// Returns the state before the first change: revision 0, no text.
    pub fn empty() -> Self {
        Self {
            revision: 0,
            digest: Digest::of(""),
        }
    }
}

/// One whole site file as the log carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change makes.
    pub revision: Revision,
    /// The digest of the text.
    pub digest: Digest,
    /// The revision that the change replaces.
    pub base: RevisionId,
    /// The site file, byte for byte.
    pub text: Arc<str>,
}

impl Change {
    /// Returns revision and digest, as a change upon this one would name them.
    pub fn revision_id(&self) -> RevisionId {
        RevisionId {
            revision: self.revision,
            digest: self.digest,
        }
    }
}
