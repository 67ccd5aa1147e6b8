//! Writes to the disk, and the state that they add up to after a restart.
//!
//! A batch must be synced before the messages that depend on it are sent.

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Snapshot, Term, VoterId};

/// The state of elections that a voter must not lose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the voter has seen.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub vote: Option<VoterId>,
    /// Whether it may vote. A voter that joins with a new disk is a learner
    /// first.
    pub joined: bool,
}

/// Writes that are synced together and applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// A snapshot that replaces everything written before.
    pub snapshot: Option<Snapshot>,
    /// The new hard state.
    pub hard_state: Option<HardState>,
    /// The index of the first entry to remove, together with all after it.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// The commit index, so that after a restart the committed changes are in
    /// force before a leader is elected.
    pub commit: Option<Index>,
}

impl Batch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The state that a voter reads from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The commit index.
    pub commit: Index,
}

impl RecoveredState {
    /// Returns whether the entries have consecutive indexes after the snapshot
    /// and terms that never decrease.
    pub fn is_consistent(&self) -> bool {
        let first = self.snapshot.last_index + 1;
        let indexes = self.entries.iter().zip(first..);
        let mut prev_term = self.snapshot.last_term;
        indexes.into_iter().all(|(entry, index)| {
            let is_next = entry.index == index && entry.term >= prev_term;
            prev_term = entry.term;
            is_next
        })
    }

    /// Applies one synced batch.
    pub fn replay(&mut self, batch: Batch) {
        if let Some(snapshot) = batch.snapshot {
            self.snapshot = snapshot;
            self.entries.clear();
        }
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(from) = batch.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries);
        if let Some(commit) = batch.commit {
            self.commit = commit;
        }
    }
}
