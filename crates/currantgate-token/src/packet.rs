//! What the router needs to know of a packet.

use crate::{FlowId, Token};

/// The first packet of a flow, or a copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstPacket {
    /// Which flow it opens.
    pub flow: FlowId,
    /// How many times the caller has sent it before.
    pub retransmissions: u32,
}

/// A later packet of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaterPacket {
    /// Which flow it belongs to.
    pub flow: FlowId,
    /// The token that it carries.
    pub token: Token,
    /// Whether it is the caller's last: an end or a reset.
    pub is_last: bool,
}
