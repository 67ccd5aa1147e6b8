//! The roles of a replica and their state.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::progress::Progress;
use crate::{
    ApplyAnswer, ApplyRequest, Change, Index, RequestId, SiteState, VersionedRequest, VoterChange,
    VoterId,
};

/// The role of a replica, with its state.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows `leader`, if one is known.
    Follower { leader: Option<VoterId> },
    /// Runs a pre-vote: collects replies on whether it could win an election.
    PreCandidate { granted: IndexSet<VoterId> },
    /// Runs an election: collects votes.
    Candidate { granted: IndexSet<VoterId> },
    /// Leads the current term.
    Leader(Box<Leader>),
}

/// The volatile state of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: IndexMap<VoterId, Progress>,
    /// The index of the leader's first entry. Once it is committed, all entries
    /// committed in earlier terms are known to be committed.
    pub(super) first_index: Index,
    pub(super) next_heartbeat: Instant,
    /// The instant at which the leader steps down unless a quorum acknowledges
    /// a message before.
    pub(super) quorum_deadline: Instant,
    /// Accepted requests whose changes are not in the log yet.
    pub(super) queued: VecDeque<(RequestId, Proposal)>,
    /// The index of the change that is being replicated, and its request.
    pub(super) pending: Option<(Index, RequestId)>,
    pub(super) replacement: Option<Replacement>,
    /// Reads, each with its time of arrival, that wait until a quorum has
    /// acknowledged a message sent at that time or later.
    pub(super) reads: Vec<(RequestId, Instant)>,
}

/// A request to change the site file.
#[derive(Debug)]
pub(super) enum Proposal {
    /// A change to a given base revision.
    OnBase(ApplyRequest),
    /// A file with its own version.
    Versioned(VersionedRequest),
}

impl Proposal {
    pub(super) fn len_bytes(&self) -> usize {
        match self {
            Self::OnBase(request) => request.text.len(),
            Self::Versioned(request) => request.text.len(),
        }
    }

    pub(super) fn prepare_change(&self, state: &SiteState) -> Result<Change, ApplyAnswer> {
        match self {
            Self::OnBase(request) => state.prepare_change(request),
            Self::Versioned(request) => state.prepare_versioned_change(request),
        }
    }
}

/// A change of the voters in progress.
#[derive(Debug)]
pub(super) struct Replacement {
    pub(super) request_id: RequestId,
    pub(super) request: VoterChange,
    pub(super) stage: ReplaceStage,
}

/// The progress of a change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplaceStage {
    /// The new voter receives the log as a learner, which does not vote.
    CatchUp,
    /// The entry that adds the new voter is being replicated.
    Adding(Index),
    /// The entry that removes the lost voter is being replicated.
    Removing(Index),
}
