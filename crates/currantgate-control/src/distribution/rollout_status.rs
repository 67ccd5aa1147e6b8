//! Rollout of revisions over the VMs.

use serde::{Deserialize, Serialize};

use crate::Revision;

/// The oldest revision in force on one VM and on the VMs that it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The number of VMs.
    pub nodes: u32,
    /// The oldest revision that is in force on any of them.
    pub lowest: Revision,
    /// The name of a VM with the oldest revision.
    pub laggard: Box<str>,
}

impl RolloutStatus {
    /// Returns the status of one VM alone.
    pub fn single(name: &str, revision: Revision) -> Self {
        Self {
            nodes: 1,
            lowest: revision,
            laggard: name.into(),
        }
    }

    /// Returns the status of the VMs of both together.
    #[must_use]
    pub fn merge(self, other: &Self) -> Self {
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
