//! What happens to a packet.

use std::net::SocketAddr;

use currantgate_config::{EntryId, UpstreamId};
use currantgate_packet::Refusal;

use crate::{DropReason, Forward};

/// What happens to a packet that a caller sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to an upstream.
    Deliver {
        /// The upstream.
        upstream: UpstreamId,
        /// Where the upstream takes encapsulated packets.
        address: SocketAddr,
    },
    /// Another entry is to handle it.
    Forward {
        /// The other entry.
        to: EntryId,
        /// What goes with the packet.
        forward: Forward,
    },
    /// The caller is told that the flow can't be served.
    Refuse(Refusal),
    /// It is dropped without a word.
    Drop(DropReason),
}

/// What happens to a packet that an upstream sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// It goes on to its caller.
    Pass,
    /// It is dropped without a word.
    Drop(DropReason),
}
