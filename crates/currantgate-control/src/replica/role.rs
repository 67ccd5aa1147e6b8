//! What a replica does at the moment.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::progress::Progress;
use crate::{
    ApplyAnswer, ApplyRequest, Change, Index, RequestId, SiteState, VersionedRequest, VoterChange,
    VoterId,
};

/// What a replica does at the moment.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower { leader: Option<VoterId> },
    /// Asks whether an election could be won.
    PreCandidate { granted: IndexSet<VoterId> },
    /// Asks for votes.
    Candidate { granted: IndexSet<VoterId> },
    /// Leads.
    Leader(Box<Leader>),
}

/// What a leader keeps besides the log.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: IndexMap<VoterId, Progress>,
    /// The entry that ends the terms before: once it is committed, all that
    /// was accepted earlier is known.
    pub(super) first_index: Index,
    pub(super) next_heartbeat: Instant,
    /// When the leader gives up unless a quorum acknowledges.
    pub(super) quorum_deadline: Instant,
    pub(super) waiting: VecDeque<(RequestId, Proposal)>,
    pub(super) pending: Option<(Index, RequestId)>,
    pub(super) replacement: Option<Replacement>,
    /// Reads that wait until a quorum has answered something sent after them.
    pub(super) reads: Vec<(RequestId, Instant)>,
}

/// A change that waits to be judged.
#[derive(Debug)]
pub(super) enum Proposal {
    /// It names the revision that it was written upon.
    OnBase(ApplyRequest),
    /// It names its own version.
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

/// A replacement of a voter under way.
#[derive(Debug)]
pub(super) struct Replacement {
    pub(super) request_id: RequestId,
    pub(super) request: VoterChange,
    pub(super) stage: ReplaceStage,
}

/// How far a replacement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplaceStage {
    /// The new voter gets the log and does not vote yet.
    CatchUp,
    /// The entry that adds the new voter is on its way.
    Adding(Index),
    /// The entry that removes the lost voter is on its way.
    Removing(Index),
}
