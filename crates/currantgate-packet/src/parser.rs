//! Parses packets of both directions.

use std::net::SocketAddr;

use currantgate_config::Protocol;
use etherparse::{TcpSlice, UdpSlice, ip_number};

use crate::icmp::QuotedPacket;
use crate::ip::IpPacket;
use crate::{FlowKey, Packet, PacketError, PacketKind};

/// The side that sent a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    Caller,
    Upstream,
}

/// Parses an IP packet from a caller to a service.
///
/// An ICMP error in this direction quotes a packet from the service.
///
/// # Errors
///
/// Returns an error when `buf` is not a complete packet that can be routed.
pub fn parse_request(buf: &[u8]) -> Result<Packet, PacketError> {
    parse(buf, Sender::Caller)
}

/// Parses an IP packet from an upstream to a caller.
///
/// An ICMP error in this direction quotes a packet from the caller.
///
/// # Errors
///
/// Returns an error when `buf` is not a complete packet that can be routed.
pub fn parse_answer(buf: &[u8]) -> Result<Packet, PacketError> {
    parse(buf, Sender::Upstream)
}

fn parse(buf: &[u8], sender: Sender) -> Result<Packet, PacketError> {
    let ip = IpPacket::parse(buf)?;
    let packet = match (ip.protocol, ip.source.is_ipv4()) {
        (ip_number::TCP, _) => parse_tcp(&ip, sender)?,
        (ip_number::UDP, _) => parse_udp(&ip, sender)?,
        (ip_number::ICMP, true) => icmp_error(QuotedPacket::parse_v4(&ip)?, sender),
        (ip_number::IPV6_ICMP, false) => icmp_error(QuotedPacket::parse_v6(&ip)?, sender),
        (other, _) => return Err(PacketError::Protocol(other.0)),
    };
    Ok(Packet {
        len: buf.len(),
        ..packet
    })
}

fn parse_tcp(ip: &IpPacket<'_>, sender: Sender) -> Result<Packet, PacketError> {
    let tcp = TcpSlice::from_slice(ip.payload).map_err(|_| PacketError::Transport)?;
    let source = SocketAddr::new(ip.source, tcp.source_port());
    let destination = SocketAddr::new(ip.destination, tcp.destination_port());
    let ack = if tcp.ack() {
        tcp.acknowledgment_number()
    } else {
        0
    };
    Ok(Packet {
        kind: tcp_kind(&tcp),
        next_seq: next_seq(&tcp),
        ack,
        ..data_packet(Protocol::Tcp, source, destination, sender)
    })
}

fn parse_udp(ip: &IpPacket<'_>, sender: Sender) -> Result<Packet, PacketError> {
    let udp = UdpSlice::from_slice(ip.payload).map_err(|_| PacketError::Transport)?;
    let source = SocketAddr::new(ip.source, udp.source_port());
    let destination = SocketAddr::new(ip.destination, udp.destination_port());
    Ok(data_packet(Protocol::Udp, source, destination, sender))
}

/// Returns the packet of an ICMP error. The quoted packet was sent in the
/// opposite direction.
fn icmp_error(quoted: QuotedPacket, sender: Sender) -> Packet {
    let quoted_sender = match sender {
        Sender::Caller => Sender::Upstream,
        Sender::Upstream => Sender::Caller,
    };
    let QuotedPacket {
        protocol,
        source,
        destination,
    } = quoted;
    Packet {
        kind: PacketKind::IcmpError,
        ..data_packet(protocol, source, destination, quoted_sender)
    }
}

/// Returns a packet of kind [`PacketKind::Data`] without a length.
fn data_packet(
    protocol: Protocol,
    source: SocketAddr,
    destination: SocketAddr,
    sender: Sender,
) -> Packet {
    let (caller, service) = match sender {
        Sender::Caller => (source, destination),
        Sender::Upstream => (destination, source),
    };
    Packet {
        key: FlowKey {
            protocol,
            caller,
            service,
        },
        kind: PacketKind::Data,
        next_seq: 0,
        ack: 0,
        len: 0,
    }
}

fn tcp_kind(tcp: &TcpSlice<'_>) -> PacketKind {
    if tcp.rst() {
        PacketKind::Reset
    } else if tcp.fin() {
        PacketKind::Finish
    } else if tcp.syn() && !tcp.ack() {
        PacketKind::Open
    } else {
        PacketKind::Data
    }
}

/// Returns the sequence number after the segment; SYN and FIN count as one each.
fn next_seq(tcp: &TcpSlice<'_>) -> u32 {
    let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
    let payload = u32::try_from(tcp.payload().len()).unwrap_or(0);
    tcp.sequence_number()
        .wrapping_add(payload)
        .wrapping_add(flags)
}
