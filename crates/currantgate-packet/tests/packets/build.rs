//! Builds packets for the tests.

use std::net::{IpAddr, SocketAddr};

use currantgate_config::Protocol;
use currantgate_packet::FlowKey;
use etherparse::{
    Icmpv4Type, Icmpv6Type, IpHeaders, PacketBuilder, PacketBuilderStep, TcpHeader, icmpv4, icmpv6,
};

pub(crate) const V4: [&str; 2] = ["192.0.2.7:40000", "127.20.0.1:443"];
pub(crate) const V6: [&str; 2] = ["[2001:db8::7]:40000", "[2001:db8::1]:443"];

/// Returns the key of the flow between the addresses of caller and service.
pub(crate) fn key(protocol: Protocol, [caller, service]: [&str; 2]) -> FlowKey {
    FlowKey {
        protocol,
        caller: caller.parse().unwrap(),
        service: service.parse().unwrap(),
    }
}

pub(crate) fn ip(from: IpAddr, to: IpAddr) -> PacketBuilderStep<IpHeaders> {
    match (from, to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 60),
        (IpAddr::V6(from), IpAddr::V6(to)) => PacketBuilder::ipv6(from.octets(), to.octets(), 60),
        _ => unreachable!("both addresses belong to the same family"),
    }
}

/// Builds a TCP segment whose header `edit` changes.
pub(crate) fn tcp(
    from: SocketAddr,
    to: SocketAddr,
    edit: impl FnOnce(&mut TcpHeader),
    payload: &[u8],
) -> Vec<u8> {
    let mut header = TcpHeader::new(from.port(), to.port(), 1_000, 500);
    edit(&mut header);
    let mut buf = Vec::new();
    let builder = ip(from.ip(), to.ip()).tcp_header(header);
    builder.write(&mut buf, payload).unwrap();
    buf
}

pub(crate) fn udp(from: SocketAddr, to: SocketAddr, payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::new();
    let builder = ip(from.ip(), to.ip()).udp(from.port(), to.port());
    builder.write(&mut buf, payload).unwrap();
    buf
}

/// Builds a packet of the flow from the caller or from the service.
pub(crate) fn packet(key: &FlowKey, from_caller: bool, payload: &[u8]) -> Vec<u8> {
    let (from, to) = if from_caller {
        (key.caller, key.service)
    } else {
        (key.service, key.caller)
    };
    match key.protocol {
        Protocol::Tcp => tcp(from, to, |header| header.ack = true, payload),
        Protocol::Udp => udp(from, to, payload),
    }
}

/// Builds a port unreachable error that quotes `quoted`.
pub(crate) fn unreachable(from: IpAddr, to: IpAddr, quoted: &[u8]) -> Vec<u8> {
    use icmpv4::DestUnreachableHeader::Port as V4Port;
    use icmpv6::DestUnreachableCode::Port as V6Port;
    let mut buf = Vec::new();
    let step = ip(from, to);
    let result = if from.is_ipv4() {
        step.icmpv4(Icmpv4Type::DestinationUnreachable(V4Port))
            .write(&mut buf, quoted)
    } else {
        step.icmpv6(Icmpv6Type::DestinationUnreachable(V6Port))
            .write(&mut buf, quoted)
    };
    result.unwrap();
    buf
}
