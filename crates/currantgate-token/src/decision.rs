//! What to do with a packet.

use std::net::SocketAddrV4;

use displaydoc::Display;

use crate::Token;

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The token that the packet is to carry.
    pub token: Token,
    /// Where the upstream takes packets.
    pub address: SocketAddrV4,
    /// Names the upstream to whoever holds the address, which may be another
    /// one by now.
    pub identity: u64,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to an upstream.
    Forward(Hop),
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
    /// the upstreams' queues are longer than the caller can wait
    Overload,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum DropReason {
    /// the token names no upstream that is known
    UnknownToken,
    /// no route is known, and the routes may be out of date
    RoutesOutOfDate,
}
