//! How far revisions have come.

use serde::{Deserialize, Serialize};

use crate::Revision;

/// How far revisions have come on one VM and those that it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// How many VMs there are.
    pub nodes: u32,
    /// The oldest revision in force on any of them.
    pub lowest: Revision,
    /// The VM that has the oldest revision.
    pub laggard: Box<str>,
}

impl Reach {
    /// Returns the reach of one VM alone.
    pub fn alone(name: &str, revision: Revision) -> Self {
        Self {
            nodes: 1,
            lowest: revision,
            laggard: name.into(),
        }
    }

    /// Returns the reach of both together.
    #[must_use]
    pub fn with(self, other: &Self) -> Self {
        let nodes = self.nodes + other.nodes;
        if other.nodes == 0 || (self.nodes > 0 && self.lowest <= other.lowest) {
            return Self { nodes, ..self };
        }
        Self {
            nodes,
            ..other.clone()
        }
    }
}
