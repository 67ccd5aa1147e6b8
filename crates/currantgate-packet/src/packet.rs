//! The parts of a packet that routing decides on.

use crate::{FlowKey, PacketKind};

/// The parts of one packet that routing decides on.
///
/// The direction is not stored: [`crate::parse_request`] reads packets that
/// callers send and [`crate::parse_answer`] those that upstreams send, and
/// both name the flow by the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The flow that the packet belongs to.
    pub key: FlowKey,
    /// What the packet means for the flow.
    pub kind: PacketKind,
    /// TCP sequence number that the sender would use next; zero for UDP.
    pub next_seq: u32,
    /// TCP acknowledgement number; zero when the packet has none.
    pub ack: u32,
    /// Length of the IP packet in bytes.
    pub len: usize,
}
