//! Errors in parsing a packet.

use displaydoc::Display;

/// The reason why a packet can't be routed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum PacketError {
    /// the IP header is malformed or damaged, or its length differs from the packet's
    Ip,
    /// the transport header is malformed or truncated
    Transport,
    /// transport protocol {0} is not supported
    Protocol(u8),
    /// the packet is a fragment, which need not contain the ports
    Fragment,
    /// the ICMP message is damaged or is not an error about a flow
    Icmp,
}

impl std::error::Error for PacketError {}
