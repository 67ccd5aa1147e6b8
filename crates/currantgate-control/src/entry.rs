//! Entries of the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Change, EvacuationOrder, Index, Members, Term};

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// No effect. A new leader appends one, as the commit of an entry of its own
    /// term commits all earlier entries too.
    Noop,
    /// Puts a site file in force when the entry is committed.
    Change(Arc<Change>),
    /// Replaces the set of voters as soon as the entry is appended.
    Members(Members),
    /// Executes an order on a failure domain when the entry is committed.
    Evacuation(EvacuationOrder),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The position in the log.
    pub index: Index,
    /// The effect of the entry.
    pub command: Command,
}

impl Entry {
    /// Returns the approximate size of the entry in memory and on the wire, in
    /// bytes.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        match &self.command {
            Command::Change(change) => FIXED_BYTES + change.text.len(),
            Command::Evacuation(order) => FIXED_BYTES + order.domain.len(),
            Command::Noop | Command::Members(_) => FIXED_BYTES,
        }
    }
}
