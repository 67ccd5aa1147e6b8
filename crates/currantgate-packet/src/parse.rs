//! Reads packets of both directions.

use std::net::{IpAddr, SocketAddr};

use currantgate_config::Protocol;
use etherparse::{NetSlice, SlicedPacket, TcpSlice, TransportSlice};

use crate::{FlowKey, Packet, PacketError, PacketKind};

/// Reads an IP packet that a caller sent to a service.
///
/// # Errors
///
/// Returns why the packet can't be routed; nothing is read past `buf`.
pub fn parse_request(buf: &[u8]) -> Result<Packet, PacketError> {
    parse(buf, |source, destination| (source, destination))
}

/// Reads an IP packet that an upstream sent to a caller.
///
/// # Errors
///
/// Returns why the packet can't be routed; nothing is read past `buf`.
pub fn parse_answer(buf: &[u8]) -> Result<Packet, PacketError> {
    parse(buf, |source, destination| (destination, source))
}

fn parse(
    buf: &[u8],
    orient: fn(SocketAddr, SocketAddr) -> (SocketAddr, SocketAddr),
) -> Result<Packet, PacketError> {
    let sliced = SlicedPacket::from_ip(buf).map_err(|_| PacketError::Ip)?;
    let (source, destination) = addresses(&sliced)?;
    let packet = |protocol, source_port, destination_port| {
        let (caller, service) = orient(
            SocketAddr::new(source, source_port),
            SocketAddr::new(destination, destination_port),
        );
        Packet {
            key: FlowKey {
                protocol,
                caller,
                service,
            },
            kind: PacketKind::Data,
            next_seq: 0,
            ack: 0,
            len: buf.len(),
        }
    };
    match sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => Ok(Packet {
            kind: tcp_kind(&tcp),
            next_seq: next_seq(&tcp),
            ack: if tcp.ack() {
                tcp.acknowledgment_number()
            } else {
                0
            },
            ..packet(Protocol::Tcp, tcp.source_port(), tcp.destination_port())
        }),
        Some(TransportSlice::Udp(udp)) => Ok(packet(
            Protocol::Udp,
            udp.source_port(),
            udp.destination_port(),
        )),
        _ => Err(PacketError::Transport),
    }
}

fn addresses(sliced: &SlicedPacket<'_>) -> Result<(IpAddr, IpAddr), PacketError> {
    match &sliced.net {
        Some(NetSlice::Ipv4(ip)) => Ok((
            IpAddr::V4(ip.header().source_addr()),
            IpAddr::V4(ip.header().destination_addr()),
        )),
        Some(NetSlice::Ipv6(ip)) => Ok((
            IpAddr::V6(ip.header().source_addr()),
            IpAddr::V6(ip.header().destination_addr()),
        )),
        _ => Err(PacketError::Ip),
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

fn next_seq(tcp: &TcpSlice<'_>) -> u32 {
    let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
    let payload = u32::try_from(tcp.payload().len()).unwrap_or(0);
    tcp.sequence_number()
        .wrapping_add(payload)
        .wrapping_add(flags)
}
