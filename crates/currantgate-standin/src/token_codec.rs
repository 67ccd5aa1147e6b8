//! The packets of token flows, as the stand-ins see them.

use std::net::SocketAddrV4;

/// What a packet is for; several may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenFlags {
    /// It opens a flow.
    pub open: bool,
    /// It acknowledges.
    pub ack: bool,
    /// It is the sender's last.
    pub end: bool,
    /// It ends the flow at once.
    pub reset: bool,
}

/// A packet of a token flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenPacket {
    /// The sender.
    pub from: SocketAddrV4,
    /// The receiver.
    pub to: SocketAddrV4,
    /// The token that it returns or is given.
    pub token: u32,
    /// Its place among the sender's bytes.
    pub seq: u32,
    /// What the sender has of the other end's bytes.
    pub ack: u32,
    /// What it is for.
    pub flags: TokenFlags,
    /// The bytes it carries.
    pub data: Vec<u8>,
}

/// Reads and writes the packets of a platform.
pub trait TokenCodec: Copy + 'static {
    /// Returns the datagram of a packet.
    fn encode(&self, packet: &TokenPacket) -> Vec<u8>;

    /// Reads a datagram; nothing when it is no packet.
    fn decode(&self, datagram: &[u8]) -> Option<TokenPacket>;

    /// Splits what an entry sends to an upstream: who is meant, and the packet.
    fn split_identity<'a>(&self, datagram: &'a [u8]) -> Option<(u64, &'a [u8])>;
}
