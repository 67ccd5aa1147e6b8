//! Messages that belong to one stream each: between control VMs, and between
//! operators and a control VM.

use std::net::SocketAddr;

use currantgate_control::{
    ApplyAnswer, ApplyRequest, LocalRead, Message, ReadAnswer, ReplaceAnswer, ReplaceRequest,
    Revision, RevisionId, RolloutStatus, Status, VoterId,
};
use serde::{Deserialize, Serialize};

use crate::feed::FleetStatus;

/// The path of streams between control VMs.
pub(super) const PEER_PATH: &str = "/v1/peer";

/// The path of streams to entries, relays and fan-out VMs.
pub(super) const SUBSCRIBE_PATH: &str = "/v1/subscribe";

/// The path of operators' requests.
pub(super) const CALL_PATH: &str = "/v1/call";

/// A message between control VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    pub(super) from: VoterId,
    /// Whom it is meant for; a stream that reaches another VM is of no use.
    pub(super) to: VoterId,
    /// Where the sender listens.
    pub(super) reply_to: SocketAddr,
    pub(super) message: Message,
}

/// A request of an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Call {
    Apply(ApplyRequest),
    Read,
    /// Asks for the digest of a revision.
    FindRevision(Revision),
    Status,
    Replace(ReplaceRequest),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    Apply(ApplyAnswer),
    /// The site file is wrong; nothing was applied.
    InvalidFile(Box<str>),
    Read(LocalRead),
    /// A read that a quorum confirmed.
    Confirmed(ReadAnswer),
    /// The revision, if it is in the known history.
    FoundRevision(Option<RevisionId>),
    Status(Box<NodeStatus>),
    Replace(ReplaceAnswer),
    /// This VM does not vote and takes no such request.
    NotAVoter,
}

/// What operators see of one control or fan-out VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The consensus; nothing on a fan-out VM.
    pub consensus: Option<Status>,
    /// The revision and digest that the VM knows as accepted.
    pub accepted: RevisionId,
    /// How far revisions have come on the VMs that it serves.
    pub rollout: RolloutStatus,
    /// The VMs that it serves, with the reach of each.
    pub subscribers: Vec<(Box<str>, RolloutStatus)>,
    /// The fleet, where entries learn of upstreams from this VM.
    pub fleet: Option<FleetStatus>,
}
