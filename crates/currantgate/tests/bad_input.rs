//! Malformed or unroutable input is counted and, where the protocol defines one, gets an
//! error response.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use support::{Fixture, syn};

#[actix_rt::test]
async fn malformed_packets_are_counted() {
    let fixture = Fixture::start();
    let to = fixture.entry.addresses().fabric;
    fixture.remote.send_to(b"no packet", to).unwrap();
    let sample = "currantgate_entry_packets_dropped_total{reason=\"bad_ip_header\"}";
    fixture.wait_for_sample(sample, 1.0).await;
}

#[actix_rt::test]
async fn packets_to_an_unknown_service_are_counted() {
    let fixture = Fixture::start();
    let packet = syn(SocketAddr::from(([127, 20, 0, 9], 443)));
    let to = fixture.entry.addresses().fabric;
    fixture.remote.send_to(&packet, to).unwrap();
    let sample = "currantgate_entry_packets_dropped_total{reason=\"unknown_service\"}";
    fixture.wait_for_sample(sample, 1.0).await;
}

#[actix_rt::test]
async fn messages_from_an_unknown_peer_are_counted() {
    let fixture = Fixture::start();
    let to = fixture.entry.addresses().peer;
    fixture.remote.send_to(&[0, 0], to).unwrap();
    let sample = "currantgate_entry_packets_dropped_total{reason=\"unknown_peer\"}";
    fixture.wait_for_sample(sample, 1.0).await;
}

#[actix_rt::test]
async fn answers_from_an_unknown_upstream_are_counted() {
    let fixture = Fixture::start();
    let packet = syn(SocketAddr::from(([127, 20, 0, 1], 443)));
    let to = fixture.entry.addresses().tunnel;
    fixture.remote.send_to(&packet, to).unwrap();
    let sample = "currantgate_entry_packets_dropped_total{reason=\"unknown_upstream\"}";
    fixture.wait_for_sample(sample, 1.0).await;
}

#[actix_rt::test]
async fn a_flow_without_upstreams_is_reset() {
    let fixture = Fixture::start();
    let packet = syn(SocketAddr::from(([127, 20, 0, 1], 443)));
    let to = fixture.entry.addresses().fabric;
    fixture.remote.send_to(&packet, to).unwrap();
    let answer = fixture.receive().await;
    let sliced = etherparse::SlicedPacket::from_ip(&answer).unwrap();
    let Some(etherparse::TransportSlice::Tcp(tcp)) = sliced.transport else {
        panic!("the answer is not TCP");
    };
    assert!(tcp.rst());
    assert_eq!(tcp.acknowledgment_number(), 2);
    assert_eq!(tcp.destination_port(), 40_000);
}

#[rstest]
#[case::good(
    "booking/b-1",
    r#"{"incarnation":1,"address":"127.0.2.1:5555","domain":"riga-1"}"#,
    200
)]
#[case::unknown_service(
    "bookings/b-1",
    r#"{"incarnation":1,"address":"127.0.2.1:5555","domain":"riga-1"}"#,
    404
)]
#[case::not_json("booking/b-1", "incarnation=1", 400)]
#[case::unknown_key(
    "booking/b-1",
    r#"{"incarnation":1,"address":"127.0.2.1:5555","domain":"riga-1","slot":3}"#,
    400
)]
#[case::no_address("booking/b-1", r#"{"incarnation":1,"domain":"riga-1"}"#, 400)]
#[case::unknown_path(
    "booking",
    r#"{"incarnation":1,"address":"127.0.2.1:5555","domain":"riga-1"}"#,
    404
)]
#[actix_rt::test]
async fn announcements_get_the_expected_status(
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let fixture = Fixture::start();
    assert_eq!(fixture.announce(path, body.into()).await, status);
}

#[actix_rt::test]
async fn an_oversized_announcement_is_rejected() {
    let fixture = Fixture::start();
    let body = format!(r#"{{"incarnation":1,"address":"{}"}}"#, "1".repeat(100_000));
    assert_eq!(fixture.announce("booking/b-1", body).await, 413);
}

#[actix_rt::test]
async fn an_oversized_packet_is_answered_with_the_mtu() {
    let fixture = Fixture::start();
    let builder = etherparse::PacketBuilder::ipv4([127, 30, 0, 1], [127, 20, 0, 1], 64)
        .tcp(40_000, 443, 1, 65_000)
        .ack(1);
    let mut packet = Vec::new();
    builder.write(&mut packet, &[0; 1_400]).unwrap();
    let to = fixture.entry.addresses().fabric;
    fixture.remote.send_to(&packet, to).unwrap();
    let answer = fixture.receive().await;
    let sliced = etherparse::SlicedPacket::from_ip(&answer).unwrap();
    let Some(etherparse::TransportSlice::Icmpv4(icmp)) = sliced.transport else {
        panic!("the answer is not ICMP");
    };
    // Fragmentation needed, with the MTU of the next hop.
    assert_eq!((icmp.type_u8(), icmp.code_u8()), (3, 4));
    assert_eq!(icmp.bytes5to8()[2..], 1_400_u16.to_be_bytes());
}
