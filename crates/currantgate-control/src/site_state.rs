//! The replicated state: the accepted site file and its history.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ApplyAnswer, ApplyRequest, Change, Digest, Revision, RevisionId, VersionedRequest};

/// The number of accepted changes that are kept to detect resent requests.
const HISTORY_CHANGES: usize = 1_024;

/// An accepted change without its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HistoryEntry {
    revision: Revision,
    digest: Digest,
    base: RevisionId,
}

/// The accepted site file and the latest accepted changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteState {
    current: Option<Arc<Change>>,
    history: VecDeque<HistoryEntry>,
}

impl SiteState {
    /// Returns the change in force, or `None` before the first.
    pub fn current(&self) -> Option<&Arc<Change>> {
        self.current.as_ref()
    }

    /// Returns the id of the revision in force.
    pub fn current_id(&self) -> RevisionId {
        self.current
            .as_ref()
            .map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Returns the id of a revision, or `None` if it is neither 0 nor in the history.
    pub fn find_revision(&self, revision: Revision) -> Option<RevisionId> {
        if revision == 0 {
            return Some(RevisionId::empty());
        }
        let entry = self
            .history
            .iter()
            .find(|entry| entry.revision == revision)?;
        Some(RevisionId {
            revision,
            digest: entry.digest,
        })
    }

    /// Returns the change to append to the log for `request`.
    ///
    /// # Errors
    ///
    /// Returns the answer to the request if the same change was accepted before
    /// or if its base is no longer in force.
    pub fn prepare_change(&self, request: &ApplyRequest) -> Result<Change, ApplyAnswer> {
        let digest = request.digest();
        let resent = |entry: &&HistoryEntry| entry.base == request.base && entry.digest == digest;
        if let Some(entry) = self.history.iter().rev().find(resent) {
            return Err(ApplyAnswer::AlreadyAccepted(entry.revision));
        }
        if request.base != self.current_id() {
            return Err(ApplyAnswer::Conflict(self.successor_of(request.base)));
        }
        Ok(Change {
            revision: request.base.revision + 1,
            digest,
            base: request.base,
            text: Arc::clone(&request.text),
        })
    }

    /// Returns the change to append to the log for a file with its own version.
    ///
    /// # Errors
    ///
    /// Returns the answer to the request if its version is not above the one in
    /// force.
    pub fn prepare_versioned_change(
        &self,
        request: &VersionedRequest,
    ) -> Result<Change, ApplyAnswer> {
        let digest = request.digest();
        let base = self.current_id();
        if request.version < base.revision {
            return Err(ApplyAnswer::Superseded(base.revision));
        }
        if request.version == base.revision {
            let same = digest == base.digest;
            return Err(if same {
                ApplyAnswer::AlreadyAccepted(base.revision)
            } else {
                ApplyAnswer::Conflict(base)
            });
        }
        Ok(Change {
            revision: request.version,
            digest,
            base,
            text: Arc::clone(&request.text),
        })
    }

    /// Puts a committed change in force and adds it to the history.
    pub(crate) fn accept(&mut self, change: Arc<Change>) {
        self.history.push_back(HistoryEntry {
            revision: change.revision,
            digest: change.digest,
            base: change.base,
        });
        if self.history.len() > HISTORY_CHANGES {
            self.history.pop_front();
        }
        self.current = Some(change);
    }

    /// Returns the id of the change that was accepted on top of `base`, or of the
    /// change in force if the history no longer contains the former.
    fn successor_of(&self, base: RevisionId) -> RevisionId {
        self.history
            .iter()
            .find(|entry| entry.base == base)
            .map_or_else(
                || self.current_id(),
                |entry| RevisionId {
                    revision: entry.revision,
                    digest: entry.digest,
                },
            )
    }
}
