//! The set of voters.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::VoterId;

/// The voters and their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    voters: IndexMap<VoterId, SocketAddr>,
}

impl Members {
    /// Returns the set of the given voters.
    pub fn new(voters: impl IntoIterator<Item = (VoterId, SocketAddr)>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
        }
    }

    /// Returns whether `id` is a voter.
    pub fn contains(&self, id: VoterId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns the ids of the voters.
    pub fn ids(&self) -> impl Iterator<Item = VoterId> + '_ {
        self.voters.keys().copied()
    }

    /// Returns the voters and their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (VoterId, SocketAddr)> + '_ {
        self.voters.iter().map(|(id, address)| (*id, *address))
    }

    /// Returns the address at which a voter listens.
    pub fn address(&self, id: VoterId) -> Option<SocketAddr> {
        self.voters.get(&id).copied()
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether there is no voter.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns the set with a voter added.
    pub fn with_voter(&self, id: VoterId, address: SocketAddr) -> Self {
        let mut voters = self.voters.clone();
        voters.insert(id, address);
        Self { voters }
    }

    /// Returns the set with a voter removed.
    pub fn without_voter(&self, id: VoterId) -> Self {
        let mut voters = self.voters.clone();
        voters.shift_remove(&id);
        Self { voters }
    }

    /// Returns the greatest value that a majority of voters has reached, or `None`
    /// if there are no voters.
    pub(crate) fn reached_by_quorum<T: Ord>(&self, value: impl Fn(VoterId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.ids().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }
}
