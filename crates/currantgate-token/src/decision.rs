//! What to do with a packet.

use std::net::SocketAddrV4;
use std::time::Instant;

use currantgate_placement::{Overload, Placed};
use displaydoc::Display;

use crate::{FlowId, Token};

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextHop {
    /// The token that the packet is to carry.
    pub token: Token,
    /// Where the upstream takes packets.
    pub address: SocketAddrV4,
    /// Names the upstream to whoever holds the address, which may be another
    /// one by now.
    pub identity: u64,
}

/// What to do with a first packet, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstPacketDecision {
    /// What to do with it.
    pub decision: Decision,
    /// How the flow was placed; nothing when it was refused, or when a copy
    /// follows the packet before it.
    pub placed: Option<Placed>,
    /// The upstream that left an earlier copy unanswered.
    pub unanswered_by: Option<Token>,
}

/// A flow that is let go because its caller has given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredFlow {
    /// Which flow.
    pub flow: FlowId,
    /// Its upstream.
    pub token: Token,
    /// Whether the upstream had answered its first packet.
    pub was_answered: bool,
    /// When its first packet, or the copy that counts, was sent on.
    pub sent: Instant,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to an upstream.
    Forward(NextHop),
    /// Tell the caller that the flow is not open and won't be.
    Reset(ResetReason),
    /// Do nothing: an answer could cut a flow that is open.
    Drop(DropReason),
}

/// Why a flow is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ResetReason {
    /// no route leads to the address
    NoRoute,
    /// no upstream of the service is known
    NoUpstream,
    /// the service answers late and has enough requests that go before
    Overloaded(Overload),
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum DropReason {
    /// the token names no upstream that is known
    UnknownToken,
    /// no route is known, and the routes may be out of date
    RoutesOutOfDate,
    /// no upstream of the service is known, and some may not have been told yet
    UpstreamsIncomplete,
}
