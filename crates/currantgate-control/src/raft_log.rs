//! The replicated log in memory: a snapshot and the entries after it.

use crate::{Command, Entry, Index, Members, Snapshot, Term};

/// A snapshot and the entries after it.
#[derive(Clone, Debug)]
pub(crate) struct RaftLog {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl RaftLog {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self { snapshot, entries }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn last_index(&self) -> Index {
        self.snapshot.last_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.last_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, or `None` if the log does not
    /// contain it.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.last_index {
            return Some(self.snapshot.last_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.last_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` on, up to about `max_bytes` but at least
    /// one.
    pub(crate) fn slice(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.snapshot.last_index + 1) as usize;
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.size_bytes();
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Removes the entry at `from` and all after it.
    pub(crate) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.last_index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Replaces the entries that `snapshot` covers. The entries after it are kept
    /// only if the log contains its last entry with the same term.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let matches = self.term(snapshot.last_index) == Some(snapshot.last_term);
        let index = snapshot.last_index;
        self.entries.retain(|e| matches && e.index > index);
        self.snapshot = snapshot;
    }

    /// Returns the latest set of voters, committed or not, and the index of its
    /// entry.
    pub(crate) fn members(&self) -> (Index, &Members) {
        let latest = self.entries.iter().rev().find_map(|entry| {
            let Command::Members(members) = &entry.command else {
                return None;
            };
            Some((entry.index, members))
        });
        latest.unwrap_or((self.snapshot.last_index, &self.snapshot.members))
    }

    /// Returns the set of voters as of the entry at `index`.
    pub(crate) fn members_at(&self, index: Index) -> Members {
        let entries = self.entries.iter().take_while(|e| e.index <= index);
        entries
            .filter_map(|entry| match &entry.command {
                Command::Members(members) => Some(members),
                _ => None,
            })
            .last()
            .unwrap_or(&self.snapshot.members)
            .clone()
    }
}
