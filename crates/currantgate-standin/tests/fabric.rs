//! What the fabric does to packets.

use std::net::SocketAddr;

use currantgate_standin::{Fabric, FabricSettings, Faults, SprayTarget};
use etherparse::PacketBuilder;
use rstest::rstest;
use tokio::net::UdpSocket;

/// The payload of packets that only mark how far the fabric is.
const MARK: u8 = 255;

/// A fabric between one caller and two entries in failure domains of their own.
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

    /// Sends a packet with this payload from the caller.
    async fn send(&self, payload: u8) {
        let to = self.fabric.handle().caller_side();
        let packet = packet(CALLER, SERVICE, payload);
        self.caller.send_to(&packet, to).await.unwrap();
    }

    /// Returns the next packet's entry and payload.
    async fn next(&self) -> (usize, u8) {
        let mut bufs = [[0; 100]; 2];
        let [first, second] = &mut bufs;
        tokio::select! {
            got = self.entries[0].recv(first) => (0, first[got.unwrap() - 1]),
            got = self.entries[1].recv(second) => (1, second[got.unwrap() - 1]),
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
        counts[site.next().await.0] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 30), "{counts:?}");
}

#[actix_rt::test]
async fn a_cut_domain_gets_and_gives_nothing() {
    let site = Site::start().await;
    let handle = site.fabric.handle();
    handle.set_isolated_domain(Some("riga-0".into()));
    for payload in 0..50 {
        site.send(payload).await;
    }
    let mut seen = Vec::new();
    while seen.len() < 10 {
        seen.push(site.next().await);
    }
    assert!(seen.iter().all(|(entry, _)| *entry == 1), "{seen:?}");

    for (entry, payload) in site.entries.iter().zip(1..) {
        let answer = packet(SERVICE, CALLER, payload);
        entry.send_to(&answer, handle.entry_side()).await.unwrap();
    }
    let mut buf = [0; 100];
    let len = site.caller.recv(&mut buf).await.unwrap();
    assert_eq!(buf[len - 1], 2);
}

/// Sends 200 packets, then marks until each entry has one; returns what came
/// before. Packets come in order, so nothing else is on its way then.
async fn send_and_take(site: &Site) -> Vec<(usize, u8)> {
    for payload in 0..200 {
        site.send(payload).await;
    }
    let mut taken = Vec::new();
    let mut marked = [false; 2];
    while marked != [true; 2] {
        site.send(MARK).await;
        match site.next().await {
            (entry, MARK) => marked[entry] = true,
            other => taken.push(other),
        }
    }
    taken
}

#[rstest]
#[case::none(Faults::default(), 200, 200)]
#[case::half_lost(Faults { lose: 0.5, ..Faults::default() }, 70, 130)]
#[case::half_doubled(Faults { duplicate: 0.5, ..Faults::default() }, 270, 330)]
#[actix_rt::test]
async fn a_share_of_packets_is_lost_or_doubled(
    #[case] faults: Faults,
    #[case] least: usize,
    #[case] most: usize,
) {
    let site = Site::start().await;
    site.fabric.handle().set_faults(faults);
    let taken = send_and_take(&site).await;
    assert!((least..=most).contains(&taken.len()), "{}", taken.len());
}

#[actix_rt::test]
async fn delayed_packets_are_overtaken() {
    let site = Site::start().await;
    site.fabric.handle().set_faults(Faults {
        delay: 0.5,
        delay_ms: 100,
        ..Faults::default()
    });
    for payload in 0..200 {
        site.send(payload).await;
    }
    let mut taken = Vec::new();
    for _ in 0..200 {
        taken.push(site.next().await.1);
    }
    assert!(!taken.is_sorted());
    taken.sort_unstable();
    assert!(taken.into_iter().eq(0..200), "each packet comes once");
}
