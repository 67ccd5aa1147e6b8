//! An upstream responds to TCP segments as a kernel does.

use std::net::{SocketAddr, SocketAddrV4};

use currantgate_standin::{Upstream, UpstreamSettings};
use etherparse::{PacketBuilder, SlicedPacket, TcpHeader, TransportSlice};
use tokio::net::UdpSocket;

const CALLER: [u8; 4] = [127, 30, 0, 1];
const SERVICE: [u8; 4] = [127, 20, 0, 1];

/// A flow of a caller through an entry, which is simulated by a socket.
struct Flow {
    entry: UdpSocket,
    upstream: SocketAddr,
    seq: u32,
    ack: u32,
}

impl Flow {
    /// Sends a segment and returns the header and payload of the reply.
    async fn exchange(&self, syn: bool, payload: &[u8]) -> (TcpHeader, Vec<u8>) {
        self.send(SERVICE, syn, payload).await;
        let mut buf = [0; 2_000];
        let len = self.entry.recv(&mut buf).await.unwrap();
        match SlicedPacket::from_ip(&buf[..len]).unwrap().transport {
            Some(TransportSlice::Tcp(tcp)) => (tcp.to_header(), tcp.payload().to_vec()),
            other => panic!("not a TCP segment: {other:?}"),
        }
    }

    async fn send(&self, to: [u8; 4], syn: bool, payload: &[u8]) {
        let mut header = TcpHeader::new(40_000, 443, self.seq, 1_000);
        header.syn = syn;
        header.ack = !syn;
        header.acknowledgment_number = self.ack;
        let mut buf = Vec::new();
        let builder = PacketBuilder::ipv4(CALLER, to, 64).tcp_header(header);
        builder.write(&mut buf, payload).unwrap();
        self.entry.send_to(&buf, self.upstream).await.unwrap();
    }

    /// Opens a flow and completes one request.
    async fn open(upstream: SocketAddr) -> Self {
        let entry = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
        let mut flow = Self {
            entry,
            upstream,
            seq: 100,
            ack: 0,
        };
        let (header, _) = flow.exchange(true, b"").await;
        assert!(header.syn && header.ack && header.acknowledgment_number == 101);
        flow.seq = 101;
        flow.ack = header.sequence_number.wrapping_add(1);
        let (header, payload) = flow.exchange(false, b"hello").await;
        assert_eq!(payload, b"booking/booking-1 hello");
        flow.seq = header.acknowledgment_number;
        flow.ack = flow.ack.wrapping_add(payload.len() as u32);
        flow
    }
}

async fn start_upstream() -> (Upstream, SocketAddr) {
    // The upstream doesn't return its address, so a free port is selected beforehand.
    let free_socket = UdpSocket::bind(("127.0.2.99", 0)).await.unwrap();
    let listen = free_socket.local_addr().unwrap();
    drop(free_socket);
    let SocketAddr::V4(listen_v4) = listen else {
        unreachable!("the socket is bound to an IPv4 address")
    };
    let settings = UpstreamSettings {
        service: "booking".into(),
        name: "booking-1".into(),
        domain: "riga-1".into(),
        service_address: SocketAddrV4::new(SERVICE.into(), 443),
        listen: listen_v4,
        ..UpstreamSettings::default()
    };
    (Upstream::start(settings).await.unwrap(), listen)
}

#[actix_rt::test]
async fn a_restarted_upstream_resets_flows_from_before_the_restart() {
    let (upstream, address) = start_upstream().await;
    let flow = Flow::open(address).await;
    assert_eq!((upstream.accepted(), upstream.open_flows()), (1, 1));
    upstream.restart().await;
    let (header, _) = flow.exchange(false, b"again").await;
    assert!(header.rst);
    assert_eq!(header.sequence_number, flow.ack);
}

#[actix_rt::test]
async fn a_retransmitted_request_is_answered_again_and_its_flow_counted_once() {
    let (upstream, address) = start_upstream().await;
    let mut flow = Flow::open(address).await;
    flow.seq -= 5;
    let (_, payload) = flow.exchange(false, b"hello").await;
    assert_eq!(payload, b"booking/booking-1 hello");
    assert_eq!(upstream.accepted(), 1);
}

#[actix_rt::test]
async fn a_packet_for_another_service_is_counted_and_dropped() {
    let (upstream, address) = start_upstream().await;
    let flow = Flow::open(address).await;
    flow.send([127, 20, 0, 2], false, b"other").await;
    let (_, payload) = flow.exchange(false, b"own").await;
    assert_eq!(payload, b"booking/booking-1 own");
    assert_eq!(upstream.misrouted(), 1);
}
