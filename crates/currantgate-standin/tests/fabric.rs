//! Packet spraying, isolation and fault injection of the fabric.

use std::net::SocketAddr;

use currantgate_standin::{Fabric, FabricSettings, Faults, SprayTarget};
use etherparse::PacketBuilder;
use rstest::rstest;
use tokio::net::UdpSocket;

/// Payload of the packets that mark the end of a series.
const END_MARKER: u8 = 255;

/// A fabric between a caller and two entries in separate failure domains.
struct Site {
    fabric: Fabric,
    caller: UdpSocket,
    entries: [UdpSocket; 2],
}

impl Site {
    async fn start() -> Self {
        let entries = [bind().await, bind().await];
        let target = |i: usize| SprayTarget {
            address: entries[i].local_addr().unwrap(),
            domain: format!("riga-{i}").into(),
            check: None,
        };
        let settings = FabricSettings {
            entries: vec![target(0), target(1)],
            seed: 1,
            ..FabricSettings::default()
        };
        Self {
            fabric: Fabric::start(settings).await.unwrap(),
            caller: bind().await,
            entries,
        }
    }

    /// Sends a packet with `payload` from the caller.
    async fn send(&self, payload: u8) {
        let to = self.fabric.handle().caller_side();
        let packet = packet(CALLER, SERVICE, payload);
        self.caller.send_to(&packet, to).await.unwrap();
    }

    /// Receives the next packet; returns the index of its entry and its payload.
    async fn receive(&self) -> (usize, u8) {
        let mut bufs = [[0; 100]; 2];
        let [first, second] = &mut bufs;
        tokio::select! {
            received = self.entries[0].recv(first) => (0, first[received.unwrap() - 1]),
            received = self.entries[1].recv(second) => (1, second[received.unwrap() - 1]),
        }
    }
}

async fn bind() -> UdpSocket {
    UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap()
}

const CALLER: [u8; 4] = [127, 30, 0, 1];
const SERVICE: [u8; 4] = [127, 20, 0, 1];

fn packet(from: [u8; 4], to: [u8; 4], payload: u8) -> Vec<u8> {
    let mut buf = Vec::new();
    PacketBuilder::ipv4(from, to, 64)
        .udp(1, 1)
        .write(&mut buf, &[payload])
        .unwrap();
    buf
}

#[actix_rt::test]
async fn packets_are_sprayed_over_all_entries() {
    let site = Site::start().await;
    let mut counts = [0; 2];
    for _ in 0..100 {
        site.send(7).await;
        counts[site.receive().await.0] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 30), "{counts:?}");
}

#[actix_rt::test]
async fn packets_to_and_from_an_isolated_domain_are_dropped() {
    let site = Site::start().await;
    let handle = site.fabric.handle();
    handle.set_isolated_domain(Some("riga-0".into()));
    for payload in 0..50 {
        site.send(payload).await;
    }
    let mut received = Vec::new();
    while received.len() < 10 {
        received.push(site.receive().await);
    }
    assert!(
        received.iter().all(|(entry, _)| *entry == 1),
        "{received:?}"
    );

    for (entry, payload) in site.entries.iter().zip(1..) {
        let answer = packet(SERVICE, CALLER, payload);
        entry.send_to(&answer, handle.entry_side()).await.unwrap();
    }
    let mut buf = [0; 100];
    let len = site.caller.recv(&mut buf).await.unwrap();
    assert_eq!(buf[len - 1], 2);
}

/// Sends 200 packets, then markers until each entry has received one; returns
/// the packets received before. Packets arrive in order, so none is in flight
/// at the end.
async fn send_and_collect(site: &Site) -> Vec<(usize, u8)> {
    for payload in 0..200 {
        site.send(payload).await;
    }
    let mut received = Vec::new();
    let mut is_marked = [false; 2];
    while is_marked != [true; 2] {
        site.send(END_MARKER).await;
        match site.receive().await {
            (entry, END_MARKER) => is_marked[entry] = true,
            other => received.push(other),
        }
    }
    received
}

#[rstest]
#[case::none(Faults::default(), 200, 200)]
#[case::half_lost(Faults { lose: 0.5, ..Faults::default() }, 70, 130)]
#[case::half_duplicated(Faults { duplicate: 0.5, ..Faults::default() }, 270, 330)]
#[actix_rt::test]
async fn packets_are_lost_or_duplicated_at_the_configured_rate(
    #[case] faults: Faults,
    #[case] min: usize,
    #[case] max: usize,
) {
    let site = Site::start().await;
    site.fabric.handle().set_faults(faults);
    let received = send_and_collect(&site).await;
    assert!((min..=max).contains(&received.len()), "{}", received.len());
}

#[actix_rt::test]
async fn delayed_packets_are_reordered() {
    let site = Site::start().await;
    site.fabric.handle().set_faults(Faults {
        delay: 0.5,
        delay_ms: 100,
        ..Faults::default()
    });
    for payload in 0..200 {
        site.send(payload).await;
    }
    let mut received = Vec::new();
    for _ in 0..200 {
        received.push(site.receive().await.1);
    }
    assert!(!received.is_sorted());
    received.sort_unstable();
    assert!(received.into_iter().eq(0..200), "each packet arrives once");
}
