//! The decision about a packet.

use std::net::SocketAddr;

use currantgate_config::{EntryId, UpstreamId};
use currantgate_packet::Refusal;

use crate::{DropReason, Forward};

/// The decision about a packet that a caller sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The packet goes to an upstream.
    Deliver {
        /// The upstream.
        upstream: UpstreamId,
        /// The address at which the upstream accepts encapsulated packets.
        address: SocketAddr,
    },
    /// Another entry handles the packet.
    Forward {
        /// The other entry.
        to: EntryId,
        /// Data that accompanies the packet.
        forward: Forward,
    },
    /// The caller is notified that the flow can't be served.
    Refuse(Refusal),
    /// The packet is dropped without a reply.
    Drop(DropReason),
}

/// The decision about a packet that an upstream sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The packet goes to its caller.
    Pass,
    /// The packet is dropped without a reply.
    Drop(DropReason),
}
