//! The status of a replica for operators.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Freshness, Index, Members, RevisionId, Term, VoterId};

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleName {
    /// It follows a leader, or has none yet.
    #[display("follower")]
    Follower,
    /// It requests votes or pre-votes.
    #[display("candidate")]
    Candidate,
    /// It leads the current term.
    #[display("leader")]
    Leader,
}

/// The status of a replica for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id of the replica.
    pub id: VoterId,
    /// Its role.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// The id of the leader, if it is known.
    pub leader: Option<VoterId>,
    /// Whether the accepted revision is certain to be the latest.
    pub freshness: Freshness,
    /// The latest accepted revision on this replica.
    pub accepted: RevisionId,
    /// The index of its last committed entry.
    pub commit: Index,
    /// The index of its last entry.
    pub last_index: Index,
    /// The voters.
    pub members: Members,
    /// On the leader, the index of the last entry that each follower has synced;
    /// empty on other replicas.
    pub matched: IndexMap<VoterId, Index>,
}
