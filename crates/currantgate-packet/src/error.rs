//! Why bytes from the fabric can't be routed or answered.

use displaydoc::Display;

/// Why a packet can't be routed or answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum PacketError {
    /// the IP header is malformed or truncated
    Ip,
    /// the IP header gives another length than the packet has
    Length,
    /// the checksum of the IP header or of the ICMP message is wrong
    Checksum,
    /// the transport header is malformed or truncated
    Transport,
    /// transport protocol {0} is not routed
    Protocol(u8),
    /// the packet is a fragment, which has no port to route by
    Fragment,
    /// the ICMP message is not an error about a flow
    Icmp,
    /// the packet is of a kind that must not be answered
    NeverAnswered,
}

impl std::error::Error for PacketError {}
