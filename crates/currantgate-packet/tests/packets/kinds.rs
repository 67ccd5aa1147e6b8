//! Tests of how each kind of packet is parsed.

use currantgate_config::Protocol;
use currantgate_packet::{PacketKind, parse_answer, parse_request};
use etherparse::TcpHeader;
use rstest::rstest;

use crate::build::{V4, V6, key, packet, tcp, unreachable};

#[rstest]
#[case::open(|h: &mut TcpHeader| h.syn = true, PacketKind::Open, 1_001, 0)]
#[case::open_answer(|h: &mut TcpHeader| (h.syn, h.ack) = (true, true), PacketKind::Data, 1_001, 77)]
#[case::data(|h: &mut TcpHeader| h.ack = true, PacketKind::Data, 1_000, 77)]
#[case::finish(|h: &mut TcpHeader| (h.fin, h.ack) = (true, true), PacketKind::Finish, 1_001, 77)]
#[case::reset(|h: &mut TcpHeader| h.rst = true, PacketKind::Reset, 1_000, 0)]
fn a_segment_is_parsed_by_its_flags(
    #[values(V4, V6)] addresses: [&str; 2],
    #[case] edit: fn(&mut TcpHeader),
    #[case] kind: PacketKind,
    #[case] next_seq: u32,
    #[case] ack: u32,
) {
    let key = key(Protocol::Tcp, addresses);
    let edit = |header: &mut TcpHeader| {
        header.acknowledgment_number = 77;
        edit(header);
    };
    let buf = tcp(key.caller, key.service, edit, b"");
    let read = parse_request(&buf).unwrap();
    assert_eq!(
        (read.key, read.kind, read.next_seq, read.ack, read.len),
        (key, kind, next_seq, ack, buf.len())
    );
}

#[rstest]
fn both_directions_have_the_same_key(
    #[values(V4, V6)] addresses: [&str; 2],
    #[values(Protocol::Tcp, Protocol::Udp)] protocol: Protocol,
) {
    let key = key(protocol, addresses);
    assert_eq!(
        parse_request(&packet(&key, true, b"x")).map(|p| p.key),
        Ok(key)
    );
    assert_eq!(
        parse_answer(&packet(&key, false, b"x")).map(|p| p.key),
        Ok(key)
    );
}

#[rstest]
fn an_icmp_error_has_the_key_of_the_quoted_flow(
    #[values(V4, V6)] addresses: [&str; 2],
    #[values(Protocol::Tcp, Protocol::Udp)] protocol: Protocol,
    #[values(true, false)] from_caller: bool,
    #[values(0, 100)] payload: usize,
) {
    let key = key(protocol, addresses);
    let quoted = packet(&key, !from_caller, &vec![0; payload]);
    // An ICMP error may quote only eight bytes of the transport header.
    let headers = if key.caller.is_ipv4() { 28 } else { 48 };
    let quoted = &quoted[..headers];
    let (from, to) = (key.caller.ip(), key.service.ip());
    let read = if from_caller {
        parse_request(&unreachable(from, to, quoted))
    } else {
        parse_answer(&unreachable(to, from, quoted))
    };
    let read = read.unwrap();
    assert_eq!((read.key, read.kind), (key, PacketKind::IcmpError));
}
