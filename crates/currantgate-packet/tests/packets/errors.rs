//! Tests of the error for each kind of invalid packet.

use currantgate_config::Protocol;
use currantgate_packet::{PacketError, parse_request};
use etherparse::{IpFragOffset, Ipv4Header, Ipv6FragmentHeader, PacketBuilder, ip_number};
use rstest::rstest;

use crate::build::{V4, V6, ip, key, packet, unreachable};

/// Builds a request and applies `edit` without updating the checksums.
fn edited(addresses: [&str; 2], edit: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut buf = packet(&key(Protocol::Tcp, addresses), true, b"hello");
    edit(&mut buf);
    buf
}

/// Builds an IPv4 request whose header `edit` changes, with a valid checksum.
fn with_header(edit: impl FnOnce(&mut Ipv4Header)) -> Vec<u8> {
    let buf = edited(V4, |_| {});
    let (mut header, rest) = Ipv4Header::from_slice(&buf).unwrap();
    edit(&mut header);
    let mut out = Vec::new();
    header.write(&mut out).unwrap();
    out.extend_from_slice(rest);
    out
}

fn other_protocol(addresses: [&str; 2], protocol: u8) -> Vec<u8> {
    let key = key(Protocol::Udp, addresses);
    let mut buf = Vec::new();
    let builder = ip(key.caller.ip(), key.service.ip());
    builder.write(&mut buf, protocol.into(), &[0; 16]).unwrap();
    buf
}

fn v6_fragment() -> Vec<u8> {
    let key = key(Protocol::Udp, V6);
    let mut buf = Vec::new();
    let builder = ip(key.caller.ip(), key.service.ip());
    let fragment = Ipv6FragmentHeader::new(ip_number::UDP, IpFragOffset::ZERO, true, 7);
    let payload = [fragment.to_bytes().as_slice(), &[0; 16]].concat();
    builder
        .write(&mut buf, ip_number::IPV6_FRAGMENTATION_HEADER, &payload)
        .unwrap();
    buf
}

fn echo() -> Vec<u8> {
    let mut buf = Vec::new();
    PacketBuilder::ipv4([192, 0, 2, 7], [127, 20, 0, 1], 60)
        .icmpv4_echo_request(1, 1)
        .write(&mut buf, b"ping")
        .unwrap();
    buf
}

/// Builds an ICMP error that quotes a packet of another sender than its recipient.
fn forged_icmp_error() -> Vec<u8> {
    let key = key(Protocol::Tcp, V4);
    let quoted = packet(&key, true, b"");
    unreachable(key.caller.ip(), key.service.ip(), &quoted)
}

fn bad_icmp_checksum(addresses: [&str; 2]) -> Vec<u8> {
    let key = key(Protocol::Tcp, addresses);
    let quoted = packet(&key, false, b"");
    let mut buf = unreachable(key.caller.ip(), key.service.ip(), &quoted);
    *buf.last_mut().unwrap() ^= 1;
    buf
}

#[rstest]
#[case::empty(Vec::new(), PacketError::Ip)]
#[case::version(vec![0x75; 40], PacketError::Ip)]
#[case::truncated_header(edited(V4, |buf| buf.truncate(12)), PacketError::Ip)]
#[case::truncated(edited(V4, |buf| buf.truncate(44)), PacketError::Ip)]
#[case::truncated_v6(edited(V6, |buf| buf.truncate(64)), PacketError::Ip)]
#[case::trailing(edited(V4, |buf| buf.push(0)), PacketError::Ip)]
#[case::trailing_v6(edited(V6, |buf| buf.push(0)), PacketError::Ip)]
#[case::jumbo(edited(V6, |buf| buf[4..6].fill(0)), PacketError::Ip)]
#[case::checksum(edited(V4, |buf| buf[8] ^= 1), PacketError::Ip)]
#[case::more_fragments(with_header(|h| h.more_fragments = true), PacketError::Fragment)]
#[case::later_fragment(
    with_header(|h| h.fragment_offset = IpFragOffset::try_new(64).unwrap()),
    PacketError::Fragment
)]
#[case::fragment_v6(v6_fragment(), PacketError::Fragment)]
#[case::tcp_offset(edited(V4, |buf| buf[32] = 0x10), PacketError::Transport)]
#[case::tcp_options(edited(V4, |buf| buf[32] = 0xf0), PacketError::Transport)]
#[case::sctp(other_protocol(V4, 132), PacketError::Protocol(132))]
#[case::icmpv6_in_v4(other_protocol(V4, 58), PacketError::Protocol(58))]
#[case::icmpv4_in_v6(other_protocol(V6, 1), PacketError::Protocol(1))]
#[case::echo(echo(), PacketError::Icmp)]
#[case::forged(forged_icmp_error(), PacketError::Icmp)]
#[case::icmp_checksum(bad_icmp_checksum(V4), PacketError::Icmp)]
#[case::icmp_checksum_v6(bad_icmp_checksum(V6), PacketError::Icmp)]
fn an_invalid_packet_is_rejected(#[case] buf: Vec<u8>, #[case] error: PacketError) {
    assert_eq!(parse_request(&buf), Err(error));
}
