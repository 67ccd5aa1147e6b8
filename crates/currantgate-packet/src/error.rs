//! Why bytes from the fabric can't be routed.

use displaydoc::Display;

/// Why a packet can't be routed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum PacketError {
    /// the IP header is malformed or damaged, or gives another length than the packet has
    Ip,
    /// the transport header is malformed or truncated
    Transport,
    /// transport protocol {0} is not routed
    Protocol(u8),
    /// the packet is a fragment, which has no port to route by
    Fragment,
    /// the ICMP message is damaged or is not an error about a flow
    Icmp,
}

impl std::error::Error for PacketError {}
