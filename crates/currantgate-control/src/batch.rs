//! What must be on disk before messages that depend on it may be sent.

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Snapshot, Term, VoterId};

/// What a voter must never forget about elections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the voter has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<VoterId>,
    /// Whether it may vote: a fresh disk that joins must first be a learner.
    pub joined: bool,
}

/// Writes that are synced together, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Replaces everything written before, and all entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Drops this entry and all after it.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// The last entry that is known to be committed, so that a restart goes on
    /// with what was in force before there is a leader again.
    pub commit: Option<Index>,
}

impl Batch {
    /// Tells whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a voter finds on its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The last entry that was known to be committed.
    pub commit: Index,
}

impl RecoveredState {
    /// Tells whether the entries follow from the snapshot and each other.
    pub fn is_consistent(&self) -> bool {
        let first = self.snapshot.last_index + 1;
        let indexes = self.entries.iter().zip(first..);
        let mut before = self.snapshot.last_term;
        indexes.into_iter().all(|(entry, index)| {
            let follows = entry.index == index && entry.term >= before;
            before = entry.term;
            follows
        })
    }

    /// Takes one synced batch, as the disk does.
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
