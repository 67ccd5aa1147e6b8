//! Packets as the input of the router.

use crate::{FlowId, Token};

/// The first packet of a flow, or a retransmission of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstPacket {
    /// Flow that it opens.
    pub flow: FlowId,
    /// Number of times that the caller has sent it before.
    pub retransmissions: u32,
}

/// A later packet of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaterPacket {
    /// Flow that it belongs to.
    pub flow: FlowId,
    /// Token that it carries.
    pub token: Token,
    /// Whether it is the caller's last packet: an end (FIN) or a reset.
    pub is_last: bool,
}
