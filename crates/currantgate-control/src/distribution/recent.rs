//! The newest revision and a few before it.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use super::{Delta, Update};
use crate::{Change, RevisionId};

/// How many older revisions are kept, to send what changed since.
const RECENT_REVISIONS: usize = 16;

/// The newest revision and a few before it, for those that lag a little.
#[derive(Debug, Default)]
pub struct RecentChanges {
    newest: Option<Arc<Change>>,
    recent: VecDeque<Arc<Change>>,
    /// Updates to the newest revision, by the revision that they start from.
    deltas: IndexMap<RevisionId, Arc<Update>>,
}

impl RecentChanges {
    /// Takes a revision; returns whether it is newer than the newest.
    pub fn publish(&mut self, change: Arc<Change>) -> bool {
        if change.revision <= self.newest().revision {
            return false;
        }
        if let Some(before) = self.newest.replace(change) {
            self.recent.push_back(before);
        }
        if self.recent.len() > RECENT_REVISIONS {
            self.recent.pop_front();
        }
        self.deltas.clear();
        true
    }

    /// Returns revision and digest of the newest revision.
    pub fn newest(&self) -> RevisionId {
        self.newest
            .as_ref()
            .map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Returns the newest revision; nothing before the first.
    pub fn newest_change(&self) -> Option<&Arc<Change>> {
        self.newest.as_ref()
    }

    /// Returns what changed since `from`, if that is known.
    pub fn delta_from(&mut self, from: RevisionId) -> Option<Arc<Update>> {
        if let Some(update) = self.deltas.get(&from) {
            return Some(Arc::clone(update));
        }
        let newest = self.newest.as_ref()?;
        let old = self.recent.iter().find(|old| old.revision_id() == from)?;
        let update = Arc::new(Update::Delta {
            from,
            to: newest.revision_id(),
            base: newest.base,
            delta: Delta::between(&old.text, &newest.text),
        });
        self.deltas.insert(from, Arc::clone(&update));
        Some(update)
    }

    /// Returns what makes the newest revision for one that has `from`.
    pub fn update_from(&mut self, from: RevisionId) -> Option<Arc<Update>> {
        let delta = self.delta_from(from);
        let newest = self.newest.as_ref()?;
        Some(delta.unwrap_or_else(|| Arc::new(Update::Full(Arc::clone(newest)))))
    }
}
