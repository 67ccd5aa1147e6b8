//! The committed state at one index, in place of the entries before it.

use serde::{Deserialize, Serialize};

use crate::{Index, Members, SiteState, Term};

/// The committed state at one index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers; 0 covers none.
    pub last_index: Index,
    /// The term of that entry.
    pub last_term: Term,
    /// The voters at that entry.
    pub members: Members,
    /// The accepted site file and the known history.
    pub state: SiteState,
}

impl Snapshot {
    /// Returns the snapshot that the first voters of a site start from.
    ///
    /// It covers one entry, so that a voter that joins later can't do without
    /// it and learns the voters.
    pub fn initial(members: Members) -> Self {
        Self {
            last_index: 1,
            members,
            ..Self::default()
        }
    }
}
