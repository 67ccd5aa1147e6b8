//! The roles of a replica and their state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::progress::Progress;
use crate::{
    ApplyAnswer, ApplyRequest, Command, EvacuationOrder, Index, RequestId, SiteState,
    VersionedRequest, VoterChange, VoterId,
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
    /// Accepted requests whose proposals are not in the log yet.
    pub(super) queued: VecDeque<(RequestId, Proposal)>,
    /// The proposal that is being replicated.
    pub(super) pending: Option<PendingProposal>,
    pub(super) replacement: Option<Replacement>,
    /// Whether the leader passes its lead on before a stop, and starts nothing new.
    pub(super) is_resigning: bool,
    /// Reads, each with its time of arrival, that wait until a quorum has
    /// acknowledged a message sent at that time or later.
    pub(super) reads: Vec<(RequestId, Instant)>,
}

/// A proposal that is being replicated.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProposal {
    pub(super) index: Index,
    pub(super) request: RequestId,
    pub(super) kind: ProposalKind,
}

/// The kind of a proposal, which decides the type of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProposalKind {
    Change,
    Evacuation,
}

/// A request to change the site file or the evacuations.
#[derive(Debug)]
pub(super) enum Proposal {
    /// A change to a given base revision.
    OnBase(ApplyRequest),
    /// A file with its own version.
    Versioned(VersionedRequest),
    /// An order on a failure domain.
    Evacuation(EvacuationOrder),
}

impl Proposal {
    pub(super) fn len_bytes(&self) -> usize {
        match self {
            Self::OnBase(request) => request.text.len(),
            Self::Versioned(request) => request.text.len(),
            Self::Evacuation(order) => order.domain.len(),
        }
    }

    pub(super) fn kind(&self) -> ProposalKind {
        match self {
            Self::OnBase(_) | Self::Versioned(_) => ProposalKind::Change,
            Self::Evacuation(_) => ProposalKind::Evacuation,
        }
    }

    /// Returns the command to append to the log. An order is appended even if it
    /// changes nothing: only its commit proves that this leader is not outdated.
    pub(super) fn prepare_command(&self, state: &SiteState) -> Result<Command, ApplyAnswer> {
        let change = match self {
            Self::OnBase(request) => state.prepare_change(request)?,
            Self::Versioned(request) => state.prepare_versioned_change(request)?,
            Self::Evacuation(order) => return Ok(Command::Evacuation(order.clone())),
        };
        Ok(Command::Change(Arc::new(change)))
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
