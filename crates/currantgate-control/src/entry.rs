//! Entries of the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Change, Index, Members, Term};

/// What an entry does once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// Puts a whole site file in force.
    Change(Arc<Change>),
    /// Replaces the set of voters; it counts from the moment it is appended.
    Members(Members),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made the entry.
    pub term: Term,
    /// The position in the log.
    pub index: Index,
    /// What the entry does.
    pub command: Command,
}

impl Entry {
    /// Returns about how many bytes the entry takes in memory and on the wire.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        match &self.command {
            Command::Change(change) => FIXED_BYTES + change.text.len(),
            Command::Noop | Command::Members(_) => FIXED_BYTES,
        }
    }
}
