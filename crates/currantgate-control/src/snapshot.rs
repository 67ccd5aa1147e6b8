//! Snapshots of the committed state, which replace the entries up to an index.

use serde::{Deserialize, Serialize};

use crate::{Evacuations, Index, Members, SiteState, Term};

/// The committed state at an index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it covers, or 0 if it covers none.
    pub last_index: Index,
    /// The term of that entry.
    pub last_term: Term,
    /// The voters at that entry.
    pub members: Members,
    /// The accepted site file and the latest accepted changes.
    pub state: SiteState,
    /// The evacuated failure domains. Earlier builds don't have this field, so it is
    /// the last one.
    pub evacuations: Evacuations,
}

impl Snapshot {
    /// Returns the snapshot with which the first voters of a site start.
    ///
    /// It covers one entry, so that a voter that joins later has to receive the
    /// snapshot, which contains the voters.
    pub fn initial(members: Members) -> Self {
        Self {
            last_index: 1,
            members,
            ..Self::default()
        }
    }
}
