//! The state that the log builds: the accepted site file and its history.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ApplyAnswer, ApplyRequest, Change, Digest, Revision, RevisionId, VersionedRequest};

/// How many accepted changes are remembered, to recognise resent ones.
const HISTORY_CHANGES: usize = 1_024;

/// One accepted change without its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Past {
    revision: Revision,
    digest: Digest,
    base: RevisionId,
}

/// The accepted site file and the known history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteState {
    current: Option<Arc<Change>>,
    history: VecDeque<Past>,
}

impl SiteState {
    /// Returns the change in force; nothing before the first.
    pub fn current(&self) -> Option<&Arc<Change>> {
        self.current.as_ref()
    }

    /// Returns the revision and digest in force.
    pub fn current_id(&self) -> RevisionId {
        self.current
            .as_ref()
            .map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Returns revision and digest of a revision of the known history.
    pub fn find_revision(&self, revision: Revision) -> Option<RevisionId> {
        if revision == 0 {
            return Some(RevisionId::empty());
        }
        let past = self.history.iter().find(|past| past.revision == revision)?;
        Some(RevisionId {
            revision,
            digest: past.digest,
        })
    }

    /// Returns the change that `request` makes, or why it makes none.
    ///
    /// # Errors
    ///
    /// Returns the answer for a change that was accepted already or whose
    /// base is no longer in force.
    pub fn judge(&self, request: &ApplyRequest) -> Result<Change, ApplyAnswer> {
        let digest = request.digest();
        let resent = |past: &&Past| past.base == request.base && past.digest == digest;
        if let Some(past) = self.history.iter().rev().find(resent) {
            return Err(ApplyAnswer::AlreadyAccepted(past.revision));
        }
        if request.base != self.current_id() {
            return Err(ApplyAnswer::Conflict(self.winner_over(request.base)));
        }
        Ok(Change {
            revision: request.base.revision + 1,
            digest,
            base: request.base,
            text: Arc::clone(&request.text),
        })
    }

    /// Returns the change that a file with its own version makes, or why it
    /// makes none.
    ///
    /// # Errors
    ///
    /// Returns the answer for a version that is not above the one in force.
    pub fn judge_version(&self, request: &VersionedRequest) -> Result<Change, ApplyAnswer> {
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

    /// Puts a committed change in force.
    pub(crate) fn accept(&mut self, change: Arc<Change>) {
        self.history.push_back(Past {
            revision: change.revision,
            digest: change.digest,
            base: change.base,
        });
        if self.history.len() > HISTORY_CHANGES {
            self.history.pop_front();
        }
        self.current = Some(change);
    }

    /// Returns the change that was accepted upon `base`, or what is in force
    /// when that is no longer known.
    fn winner_over(&self, base: RevisionId) -> RevisionId {
        self.history
            .iter()
            .find(|past| past.base == base)
            .map_or_else(
                || self.current_id(),
                |past| RevisionId {
                    revision: past.revision,
                    digest: past.digest,
                },
            )
    }
}
