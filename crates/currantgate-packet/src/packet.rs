//! The fields of a packet that routing needs.

use crate::{FlowKey, PacketKind};

/// The fields of a packet that routing needs.
///
/// The direction is not stored: [`crate::parse_request`] parses packets of
/// callers and [`crate::parse_answer`] those of upstreams, and both return the
/// same key for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The flow that the packet belongs to.
    pub key: FlowKey,
    /// The effect of the packet on the flow's state.
    pub kind: PacketKind,
    /// The TCP sequence number that follows this packet; zero for UDP.
    pub next_seq: u32,
    /// The TCP acknowledgment number; zero when the packet has none.
    pub ack: u32,
    /// The length of the IP packet in bytes.
    pub len: usize,
}
