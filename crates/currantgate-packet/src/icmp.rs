//! Parses ICMP errors about flows.

use std::net::{IpAddr, SocketAddr};

use currantgate_config::Protocol;
use etherparse::checksum::u64_16bit_word;
use etherparse::{Icmpv4Slice, Icmpv6Slice, LaxIpSlice, icmpv4, icmpv6, ip_number};

use crate::PacketError;
use crate::ip::IpPacket;

/// Minimum length of the quoted transport header in bytes; it starts with the ports.
const MIN_QUOTED_BYTES: usize = 8;

/// The flow of the packet that an ICMP error quotes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotedPacket {
    pub(crate) protocol: Protocol,
    pub(crate) source: SocketAddr,
    pub(crate) destination: SocketAddr,
}

impl QuotedPacket {
    /// Parses the quoted packet in an ICMP error for IPv4.
    pub(crate) fn parse_v4(ip: &IpPacket<'_>) -> Result<Self, PacketError> {
        let icmp = Icmpv4Slice::from_slice(ip.payload).map_err(|_| PacketError::Icmp)?;
        let sum = u64_16bit_word::add_slice(0, ip.payload);
        if u64_16bit_word::ones_complement(sum) != 0 {
            return Err(PacketError::Icmp);
        }
        match icmp.type_u8() {
            icmpv4::TYPE_DEST_UNREACH
            | icmpv4::TYPE_TIME_EXCEEDED
            | icmpv4::TYPE_PARAMETER_PROBLEM => Self::parse(ip, icmp.payload()),
            _ => Err(PacketError::Icmp),
        }
    }

    /// Parses the quoted packet in an ICMP error for IPv6.
    pub(crate) fn parse_v6(ip: &IpPacket<'_>) -> Result<Self, PacketError> {
        let icmp = Icmpv6Slice::from_slice(ip.payload).map_err(|_| PacketError::Icmp)?;
        let (IpAddr::V6(source), IpAddr::V6(destination)) = (ip.source, ip.destination) else {
            return Err(PacketError::Icmp);
        };
        if !icmp.is_checksum_valid(source.octets(), destination.octets()) {
            return Err(PacketError::Icmp);
        }
        match icmp.type_u8() {
            icmpv6::TYPE_DST_UNREACH
            | icmpv6::TYPE_PACKET_TOO_BIG
            | icmpv6::TYPE_TIME_EXCEEDED
            | icmpv6::TYPE_PARAMETER_PROBLEM => Self::parse(ip, icmp.payload()),
            _ => Err(PacketError::Icmp),
        }
    }

    /// Parses the start of the packet that the error `ip` is about.
    fn parse(ip: &IpPacket<'_>, quoted: &[u8]) -> Result<Self, PacketError> {
        let (inner, _) = LaxIpSlice::from_slice(quoted).map_err(|_| PacketError::Icmp)?;
        // An error is sent to the source of the packet that it quotes; any other is
        // forged.
        if inner.source_addr() != ip.destination || inner.is_fragmenting_payload() {
            return Err(PacketError::Icmp);
        }
        let protocol = match inner.payload_ip_number() {
            ip_number::TCP => Protocol::Tcp,
            ip_number::UDP => Protocol::Udp,
            _ => return Err(PacketError::Icmp),
        };
        let transport = inner.payload().payload;
        if transport.len() < MIN_QUOTED_BYTES {
            return Err(PacketError::Icmp);
        }
        let port = |i: usize| u16::from_be_bytes([transport[i], transport[i + 1]]);
        Ok(Self {
            protocol,
            source: SocketAddr::new(inner.source_addr(), port(0)),
            destination: SocketAddr::new(inner.destination_addr(), port(2)),
        })
    }
}
