//! Tests of the resets and ICMP errors that entries build.

use currantgate_config::Protocol;
use currantgate_packet::{
    BuildError, PacketKind, Refusal, build_caller_reset, build_packet_too_big, build_refusal,
    build_refusal_without_payload, build_upstream_reset, parse_answer, parse_request,
};
use etherparse::{Icmpv4Type, Icmpv6Type, SlicedPacket, TcpHeader, TransportSlice, icmpv4, icmpv6};
use rstest::rstest;

use crate::build::{V4, V6, key, packet, tcp, unreachable};

fn tcp_header(buf: &[u8]) -> TcpHeader {
    match SlicedPacket::from_ip(buf).unwrap().transport {
        Some(TransportSlice::Tcp(tcp)) => tcp.to_header(),
        other => panic!("no TCP segment: {other:?}"),
    }
}

#[rstest]
fn a_syn_is_refused_with_a_reset_that_acknowledges_it(
    #[values(V4, V6)] addresses: [&str; 2],
    #[values(Refusal::NotRun, Refusal::Gone)] refusal: Refusal,
) {
    let key = key(Protocol::Tcp, addresses);
    let buf = tcp(key.caller, key.service, |header| header.syn = true, b"");
    let reset = build_refusal(&parse_request(&buf).unwrap(), &buf, refusal).unwrap();
    let read = parse_answer(&reset).unwrap();
    assert_eq!((read.key, read.kind), (key, PacketKind::Reset));
    let header = tcp_header(&reset);
    assert_eq!(
        (
            header.sequence_number,
            header.ack,
            header.acknowledgment_number
        ),
        (0, true, 1_001)
    );
}

#[test]
fn data_is_refused_with_a_reset_at_its_acknowledgment_number() {
    let key = key(Protocol::Tcp, V4);
    let edit = |header: &mut TcpHeader| {
        header.ack = true;
        header.acknowledgment_number = 4_242;
    };
    let buf = tcp(key.caller, key.service, edit, b"late");
    let reset = build_refusal(&parse_request(&buf).unwrap(), &buf, Refusal::Gone).unwrap();
    let header = tcp_header(&reset);
    assert_eq!((header.sequence_number, header.ack), (4_242, false));
}

#[rstest]
#[case::not_run(Refusal::NotRun, 13, 1)]
#[case::gone(Refusal::Gone, 1, 3)]
fn a_udp_packet_is_refused_with_an_icmp_error_that_quotes_it(
    #[case] refusal: Refusal,
    #[case] v4_code: u8,
    #[case] v6_code: u8,
    #[values(10, 2_000)] payload: usize,
) {
    for (addresses, max, code) in [(V4, 576, v4_code), (V6, 1_280, v6_code)] {
        let key = key(Protocol::Udp, addresses);
        let buf = packet(&key, true, &vec![0; payload]);
        let error = build_refusal(&parse_request(&buf).unwrap(), &buf, refusal).unwrap();
        assert!(error.len() <= max, "{} bytes", error.len());
        let read = parse_answer(&error).unwrap();
        assert_eq!((read.key, read.kind), (key, PacketKind::IcmpError));
        let at = if key.caller.is_ipv4() { 20 } else { 40 };
        assert_eq!(error[at + 1], code);
    }
}

#[rstest]
fn a_refusal_without_payload_parses_like_one_with_it(
    #[values(V4, V6)] addresses: [&str; 2],
    #[values(Protocol::Tcp, Protocol::Udp)] protocol: Protocol,
    #[values(Refusal::NotRun, Refusal::Gone)] refusal: Refusal,
) {
    let key = key(protocol, addresses);
    let buf = packet(&key, true, &[]);
    let packet = parse_request(&buf).unwrap();
    let refused = build_refusal_without_payload(&packet, refusal).unwrap();
    let read = parse_answer(&refused).unwrap();
    let with_bytes = parse_answer(&build_refusal(&packet, &buf, refusal).unwrap()).unwrap();
    assert_eq!((read.key, read), (key, with_bytes));
}

#[test]
fn resets_and_icmp_errors_are_never_answered() {
    let tcp_key = key(Protocol::Tcp, V4);
    let reset = tcp(tcp_key.caller, tcp_key.service, |h| h.rst = true, b"");
    let quoted = packet(&tcp_key, false, b"");
    let error = unreachable(tcp_key.caller.ip(), tcp_key.service.ip(), &quoted);
    for buf in [reset, error.clone()] {
        let read = parse_request(&buf).unwrap();
        let refused = build_refusal(&read, &buf, Refusal::Gone);
        assert_eq!(refused, Err(BuildError::MustNotAnswer));
    }
    assert_eq!(
        build_packet_too_big(&error, 1_400),
        Err(BuildError::MustNotAnswer)
    );
    let from_broadcast = key(Protocol::Udp, ["255.255.255.255:1", V4[1]]);
    assert_eq!(
        build_packet_too_big(&packet(&from_broadcast, true, b""), 1_400),
        Err(BuildError::MustNotAnswer)
    );
}

#[rstest]
fn a_packet_that_is_too_big_gets_an_icmp_error_with_the_mtu(
    #[values(V4, V6)] addresses: [&str; 2],
    #[values(Protocol::Tcp, Protocol::Udp)] protocol: Protocol,
) {
    let key = key(protocol, addresses);
    let error = build_packet_too_big(&packet(&key, true, &[0; 1_460]), 1_400).unwrap();
    let read = parse_answer(&error).unwrap();
    assert_eq!((read.key, read.kind), (key, PacketKind::IcmpError));
    use icmpv4::DestUnreachableHeader::FragmentationNeeded;
    match SlicedPacket::from_ip(&error).unwrap().transport {
        Some(TransportSlice::Icmpv4(icmp)) => assert_eq!(
            icmp.icmp_type(),
            Icmpv4Type::DestinationUnreachable(FragmentationNeeded {
                next_hop_mtu: 1_400
            })
        ),
        Some(TransportSlice::Icmpv6(icmp)) => {
            assert_eq!(icmp.icmp_type(), Icmpv6Type::PacketTooBig { mtu: 1_400 });
            assert_eq!(icmp.type_u8(), icmpv6::TYPE_PACKET_TOO_BIG);
        }
        other => panic!("no ICMP error: {other:?}"),
    }
}

#[rstest]
fn resets_of_both_sides_have_the_given_numbers(#[values(V4, V6)] addresses: [&str; 2]) {
    let key = key(Protocol::Tcp, addresses);
    let to_caller = build_caller_reset(&key, 10, 20).unwrap();
    let to_upstream = build_upstream_reset(&key, 20, 10).unwrap();
    assert_eq!(parse_answer(&to_caller).map(|p| p.key), Ok(key));
    assert_eq!(parse_request(&to_upstream).map(|p| p.key), Ok(key));
    for (buf, seq, ack) in [(to_caller, 10, 20), (to_upstream, 20, 10)] {
        let header = tcp_header(&buf);
        assert!(header.rst && header.ack);
        assert_eq!(
            (header.sequence_number, header.acknowledgment_number),
            (seq, ack)
        );
    }
}
