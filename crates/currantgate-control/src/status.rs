//! What operators see of one replica.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Freshness, Index, Members, RevisionId, Term, VoterId};

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleName {
    /// It follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// It asks for votes.
    #[display("candidate")]
    Candidate,
    /// It leads.
    #[display("leader")]
    Leader,
}

/// What operators see of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The replica.
    pub id: VoterId,
    /// What it does.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// Who leads, as far as it knows.
    pub leader: Option<VoterId>,
    /// Whether what it says is the present.
    pub freshness: Freshness,
    /// The revision and digest that it knows as accepted.
    pub accepted: RevisionId,
    /// Its last committed entry.
    pub commit: Index,
    /// Its last entry.
    pub last_index: Index,
    /// The voters.
    pub members: Members,
    /// At the leader: the last entry that each follower has synced.
    pub matched: IndexMap<VoterId, Index>,
}
