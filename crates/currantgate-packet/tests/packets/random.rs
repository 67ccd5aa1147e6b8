//! Property tests: random bytes and damaged packets cause errors, never a panic.

use std::net::{IpAddr, SocketAddr};

use currantgate_config::Protocol;
use currantgate_packet::{
    FlowKey, PacketKind, Refusal, build_packet_too_big, build_refusal, parse_answer, parse_request,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

use crate::build::{packet, unreachable};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn flow_key() -> impl Strategy<Value = FlowKey> {
    let protocol = prop_oneof![Just(Protocol::Tcp), Just(Protocol::Udp)];
    let ips = prop_oneof![
        any::<[[u8; 4]; 2]>().prop_map(|ips| ips.map(IpAddr::from)),
        any::<[[u8; 16]; 2]>().prop_map(|ips| ips.map(IpAddr::from)),
    ];
    (protocol, ips, any::<[u16; 2]>()).prop_map(|(protocol, ips, ports)| FlowKey {
        protocol,
        caller: SocketAddr::new(ips[0], ports[0]),
        service: SocketAddr::new(ips[1], ports[1]),
    })
}

/// Builds a packet from the caller, or an ICMP error from its side.
fn from_caller(key: &FlowKey, payload: &[u8], is_error: bool) -> Vec<u8> {
    if is_error {
        let quoted = packet(key, false, payload);
        unreachable(key.caller.ip(), key.service.ip(), &quoted)
    } else {
        packet(key, true, payload)
    }
}

/// Passes a packet to every function that an entry calls with caller packets.
fn handle(buf: &[u8]) {
    let _ = parse_answer(buf);
    let _ = build_packet_too_big(buf, 1_400);
    if let Ok(packet) = parse_request(buf) {
        let _ = build_refusal(&packet, buf, Refusal::NotRun);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_bytes_never_panic(buf in prop::collection::vec(any::<u8>(), 0..200), first in any::<u8>()) {
        handle(&buf);
        // Most random bytes fail at the IP version, so sets a valid one.
        let mut buf = buf;
        if let Some(byte) = buf.first_mut() {
            *byte = if first % 2 == 0 { 0x45 } else { 0x60 };
        }
        handle(&buf);
    }

    #[test]
    fn a_built_packet_is_parsed_back(
        key in flow_key(),
        payload in prop::collection::vec(any::<u8>(), 0..100),
        is_error in any::<bool>(),
    ) {
        let buf = from_caller(&key, &payload, is_error);
        let read = parse_request(&buf).unwrap();
        prop_assert_eq!((read.key, read.len), (key, buf.len()));
        prop_assert_eq!(read.kind == PacketKind::IcmpError, is_error);
    }

    #[test]
    fn a_truncated_packet_is_an_error(
        key in flow_key(),
        payload in prop::collection::vec(any::<u8>(), 0..100),
        is_error in any::<bool>(),
        truncated in any::<prop::sample::Index>(),
    ) {
        let buf = from_caller(&key, &payload, is_error);
        let truncated = &buf[..truncated.index(buf.len())];
        prop_assert!(parse_request(truncated).is_err());
        handle(truncated);
    }

    #[test]
    fn a_flipped_bit_never_panics_and_is_detected_in_an_ipv4_header(
        key in flow_key(),
        payload in prop::collection::vec(any::<u8>(), 0..100),
        is_error in any::<bool>(),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let mut buf = from_caller(&key, &payload, is_error);
        let at = at.index(buf.len());
        buf[at] ^= 1 << bit;
        handle(&buf);
        let is_covered = is_error || at < 20;
        if key.caller.is_ipv4() && is_covered {
            prop_assert!(parse_request(&buf).is_err(), "byte {at} bit {bit}");
        }
    }
}
