//! The recent revisions, and deltas between them.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use super::{Delta, Update};
use crate::{Change, RevisionId};

/// The number of older revisions that are kept to compute deltas.
const RECENT_REVISIONS: usize = 16;

/// The newest revision and the ones before it, from which updates are computed.
#[derive(Debug, Default)]
pub struct RecentChanges {
    newest: Option<Arc<Change>>,
    older: VecDeque<Arc<Change>>,
    /// Computed updates to the newest revision, by the revision from which they
    /// start.
    deltas: IndexMap<RevisionId, Arc<Update>>,
}

impl RecentChanges {
    /// Adds a revision if it is newer than the newest, and returns whether it is.
    pub fn publish(&mut self, change: Arc<Change>) -> bool {
        if change.revision <= self.newest().revision {
            return false;
        }
        if let Some(previous) = self.newest.replace(change) {
            self.older.push_back(previous);
        }
        if self.older.len() > RECENT_REVISIONS {
            self.older.pop_front();
        }
        self.deltas.clear();
        true
    }

    /// Returns the id of the newest revision.
    pub fn newest(&self) -> RevisionId {
        self.newest
            .as_ref()
            .map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Returns the newest revision, or `None` before the first.
    pub fn newest_change(&self) -> Option<&Arc<Change>> {
        self.newest.as_ref()
    }

    /// Returns the delta from `from` to the newest revision, or `None` if `from` is
    /// not among the recent revisions.
    pub fn delta_from(&mut self, from: RevisionId) -> Option<Arc<Update>> {
        if let Some(update) = self.deltas.get(&from) {
            return Some(Arc::clone(update));
        }
        let newest = self.newest.as_ref()?;
        let old = self.older.iter().find(|old| old.revision_id() == from)?;
        let update = Arc::new(Update::Delta {
            from,
            to: newest.revision_id(),
            base: newest.base,
            delta: Delta::between(&old.text, &newest.text),
        });
        self.deltas.insert(from, Arc::clone(&update));
        Some(update)
    }

    /// Returns an update from `from` to the newest revision: a delta if possible,
    /// otherwise a full update. Returns `None` before the first revision.
    pub fn update_from(&mut self, from: RevisionId) -> Option<Arc<Update>> {
        let delta = self.delta_from(from);
        let newest = self.newest.as_ref()?;
        Some(delta.unwrap_or_else(|| Arc::new(Update::Full(Arc::clone(newest)))))
    }
}
