//! Messages between control VMs, and requests of operators to a control VM, each on a
//! stream of its own.

use std::net::SocketAddr;

use currantgate_control::{
    ApplyAnswer, ApplyRequest, EvacuationOrder, LocalRead, Message, ReadAnswer, ReplaceAnswer,
    ReplaceRequest, Revision, RevisionId, RolloutStatus, Status, VoterId, VoterSpread,
};
use serde::{Deserialize, Serialize};

use super::evacuation::EvacuationReply;
use crate::feed::{EntryFlows, EvacuationStatus, FleetStatus};

/// Path of streams between control VMs.
pub(super) const PEER_PATH: &str = "/v1/peer";

/// Path of streams to subscribers: entries, relays and fan-out VMs.
pub(super) const SUBSCRIBE_PATH: &str = "/v1/subscribe";

/// Path of operators' requests.
pub(super) const CALL_PATH: &str = "/v1/call";

/// A message between control VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    pub(super) from: VoterId,
    /// The intended receiver; another VM discards the message.
    pub(super) to: VoterId,
    /// The address that the sender listens on.
    pub(super) reply_to: SocketAddr,
    pub(super) message: Message,
}

/// A request of an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Call {
    Apply(ApplyRequest),
    Read,
    /// Returns the digest of a revision.
    FindRevision(Revision),
    Status,
    Replace(ReplaceRequest),
    /// Executes an order on a failure domain.
    Evacuate(EvacuationOrder),
    /// Returns the status of the evacuations.
    Evacuations,
    /// Returns the open flows of entries in evacuated domains. A call of its own, so that the
    /// answer to [`Call::Evacuations`] stays as commands of earlier builds expect it.
    EvacuatedFlows,
    /// Returns whether the voters outlast the loss that the site tolerates.
    VoterSpread,
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    Apply(ApplyAnswer),
    /// The site file is invalid, and nothing was applied.
    InvalidFile(Box<str>),
    Read(LocalRead),
    /// A read confirmed by a quorum.
    Confirmed(ReadAnswer),
    /// The revision, if it is in the retained history.
    FoundRevision(Option<RevisionId>),
    Status(Box<NodeStatus>),
    Replace(ReplaceAnswer),
    /// This VM is not a voter and does not serve such requests.
    NotAVoter,
    Evacuation(EvacuationReply),
    Evacuations(EvacuationStatus),
    EvacuatedFlows(Vec<EntryFlows>),
    /// `None` from a VM that does not lead, or does not choose the voters.
    VoterSpread(Option<VoterSpread>),
}

/// The status of one control or fan-out VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The state of the consensus; `None` on a fan-out VM.
    pub consensus: Option<Status>,
    /// The newest revision known to the VM as accepted.
    pub accepted: RevisionId,
    /// The rollout of revisions to the VMs served by this one.
    pub rollout: RolloutStatus,
    /// The names of its subscribers, with the rollout behind each.
    pub subscribers: Vec<(Box<str>, RolloutStatus)>,
    /// The fleet of upstreams, on a VM that feeds it to entries.
    pub fleet: Option<FleetStatus>,
}
