//! Packets of token flows and the interface of their codec.

use std::net::SocketAddrV4;

/// Flags of a packet; several may be set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenFlags {
    /// Opens a flow.
    pub open: bool,
    /// Acknowledges data of the other end.
    pub ack: bool,
    /// Closes the flow.
    pub end: bool,
    /// Resets the flow.
    pub reset: bool,
}

/// A packet of a token flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenPacket {
    /// Address of the sender.
    pub from: SocketAddrV4,
    /// Address of the receiver.
    pub to: SocketAddrV4,
    /// Token of the flow, or 0 before the flow has one.
    pub token: u32,
    /// Sequence number of the packet.
    pub seq: u32,
    /// Acknowledgement number; the number of earlier transmissions in an opening packet.
    pub ack: u32,
    /// Flags.
    pub flags: TokenFlags,
    /// Payload.
    pub data: Vec<u8>,
}

/// Encodes and decodes the packets of a platform.
pub trait TokenCodec: Copy + 'static {
    /// Encodes a packet as a datagram.
    fn encode(&self, packet: &TokenPacket) -> Vec<u8>;

    /// Decodes a datagram; returns `None` if it is not a valid packet.
    fn decode(&self, datagram: &[u8]) -> Option<TokenPacket>;

    /// Splits a datagram from an entry to an upstream into the identity of the
    /// upstream and the packet.
    fn split_identity<'a>(&self, datagram: &'a [u8]) -> Option<(u64, &'a [u8])>;
}
