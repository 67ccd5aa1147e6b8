//! Routing decisions and their reasons.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use currantgate_placement::{Overload, Placed, Priority};
use displaydoc::Display;

use crate::{FlowId, Token};

/// Upstream that a packet is forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextHop {
    /// Token to write into the packet.
    pub token: Token,
    /// Address at which the upstream receives packets.
    pub address: SocketAddrV4,
    /// Identity of the upstream, sent along with the packet: by now, another upstream
    /// may have the address.
    pub identity: u64,
}

/// Decision about a first packet, with the placement behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstPacketDecision {
    /// What to do with the packet.
    pub decision: Decision,
    /// Placement of the flow; nothing when it was refused, or when the packet is a copy
    /// that goes to the same upstream as the one before.
    pub placed: Option<Placed>,
    /// Token of the upstream that left an earlier copy unanswered.
    pub unanswered_by: Option<Token>,
    /// Whether the flow was placed in another failure domain because the entry's own is
    /// evacuated.
    pub is_displaced: bool,
    /// Class of the flow; nothing when it has no route.
    pub class: Option<FlowClass>,
    /// Whether the packet is the first copy as far as this entry knows, so that counting
    /// such decisions counts each flow once.
    pub is_new: bool,
    /// How long the flow has waited at this entry; nothing if it has not.
    pub waited: Option<Duration>,
}

/// A flow that has left the queue of this entry, with the decision about the first packet
/// that was kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingDeparture {
    /// The flow.
    pub flow: FlowId,
    /// The decision: never [`Decision::Wait`].
    pub decided: FirstPacketDecision,
}

/// Service and priority of a flow. [`TokenRouter::service_name`] returns the name of the
/// service.
///
/// [`TokenRouter::service_name`]: crate::TokenRouter::service_name
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowClass {
    /// Index of the service among those of the flow's route.
    pub service: usize,
    /// Priority of the flow.
    pub priority: Priority,
}

/// A flow whose record was removed because its caller has given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredFlow {
    /// The flow.
    pub flow: FlowId,
    /// Token of its upstream.
    pub token: Token,
    /// Whether the upstream had answered its first packet.
    pub was_answered: bool,
    /// Time at which its first packet was forwarded to this upstream.
    pub sent: Instant,
}

/// Decision about a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward the packet to an upstream.
    Forward(NextHop),
    /// Send a reset to the caller: the flow is not open and will not be opened.
    Reset(ResetReason),
    /// Drop the packet: a reset could end a flow that is open.
    Drop(DropReason),
    /// Keep the packet: the flow waits, and [`TokenRouter::next_departure`] returns it later.
    ///
    /// [`TokenRouter::next_departure`]: crate::TokenRouter::next_departure
    Wait,
}

/// Reason to reset a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum ResetReason {
    /// no route leads to the address
    NoRoute,
    /// no upstream of the service is known
    NoUpstream,
    /// all upstreams of the service are cold and no permit for one is available
    OnlyCold,
    /// the service answers late and has enough requests that go before
    Overloaded(Overload),
    /// the flow has waited as long as it could and still be answered in time
    WaitedTooLong,
    /// a flow of higher priority has its place in the full queue
    Displaced,
    /// this entry's processor or link is at its limit
    EntryLimit,
}

/// Reason to drop a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum DropReason {
    /// the token names no upstream that is known
    UnknownToken,
    /// no route is known, and the routes may be out of date
    RoutesOutOfDate,
    /// no upstream of the service is known, and some may not have been told yet
    UpstreamsIncomplete,
    /// no upstream of the service is known, and one may have answered an earlier copy
    NoUpstream,
    /// all upstreams of the service are cold, and one may have answered an earlier copy
    OnlyCold,
    /// the flow can't be placed, and its packet may have waited longer than a copy
    Delayed,
    /// the flow waits, and an earlier copy of its first packet is kept
    Waiting,
    /// the flow can't be answered in time any more, and no slot is idle for it
    LateCopy,
    /// this entry's processor or link is at its limit, and resets are limited
    EntryLimit,
}
