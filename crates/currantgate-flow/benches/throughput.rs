//! Measures packets per second on one core, relative to a plain hash.
//!
//! Both sides parse a real packet and hash its flow; the baseline then chooses
//! the upstream by modulo. Rounds are interleaved and the median ratio counts,
//! so that other load on the machine affects both sides alike.

#[path = "../tests/common/mod.rs"]
mod common;
mod report;

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::Simulation;
use currantgate_config::Protocol;
use currantgate_flow::{Router, RouterSettings, Verdict};
use currantgate_membership::{EntryStage, EntryView, Presence};
use currantgate_packet::{FlowHasher, PacketKind, parse_request};
use etherparse::PacketBuilder;
use report::Report;

const SITE: &str = r#"
domains = ["a"]

[[service]]
name = "booking"
address = "10.0.0.1:443"
limits = { max_flows = 1000000 }
"#;
/// Number of interleaved rounds, each over all packets.
const ROUNDS: usize = 31;
/// Packets that one side routes before the other side's turn: few enough that
/// neither side evicts all of the other's memory from the caches.
const BATCH_PACKETS: usize = 1_000;
/// The payload of each packet.
const PAYLOAD: [u8; 64] = [7; 64];

/// The baseline, which chooses the upstream by the flow's hash modulo their
/// number.
struct PlainHash {
    hasher: FlowHasher,
    service: (Protocol, SocketAddr),
    upstreams: Vec<SocketAddr>,
}

impl PlainHash {
    fn route(&self, buf: &[u8]) -> Option<SocketAddr> {
        let packet = parse_request(buf).ok()?;
        let key = (packet.key.protocol, packet.key.service);
        if key != self.service {
            return None;
        }
        let hash = self.hasher.hash(&packet.key);
        Some(self.upstreams[hash as usize % self.upstreams.len()])
    }
}

/// Builds a packet in the middle of a flow.
fn packet_bytes(sim: &Simulation, n: u32) -> Vec<u8> {
    let key = sim.flow_key(0, n);
    let (SocketAddr::V4(from), SocketAddr::V4(to)) = (key.caller, key.service) else {
        unreachable!("the site has IPv4 addresses only");
    };
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), 64)
        .tcp(from.port(), to.port(), 1, 1_024)
        .ack(9);
    let mut buf = Vec::with_capacity(builder.size(PAYLOAD.len()));
    builder.write(&mut buf, &PAYLOAD).unwrap();
    buf
}

fn router(sim: &Simulation, other: &Simulation) -> Router {
    let settings = RouterSettings {
        id: 1,
        ..sim.settings.clone()
    };
    let mut router = Router::new(settings, sim.now);
    let now = sim.now + Duration::from_secs(10);
    router.set_entries(
        now,
        &[EntryView {
            id: 1,
            stage: EntryStage::Serving,
            domain: "".into(),
        }],
    );
    router.tick(now);
    let upstreams = other.upstreams.values();
    router.set_upstreams(now, upstreams.map(|(u, _)| (u, Presence::Leased)));
    router.tick(now + Duration::from_secs(5));
    router
}

fn measure(report: &mut Report, flows: u32, has_target: bool) {
    let sim = Simulation::new(1, 1, 1_024, SITE);
    let mut other = Simulation::new(1, 1, 1_024, SITE);
    for n in 0..15 {
        other.add_upstream(0, n, 1);
    }
    let mut router = router(&sim, &other);
    let now = sim.now + Duration::from_secs(20);
    let addresses = other.upstreams.values().map(|(u, _)| u.address).collect();
    let key = other.flow_key(0, 0);
    let plain = PlainHash {
        hasher: FlowHasher::new(7),
        service: (key.protocol, key.service),
        upstreams: addresses,
    };
    for n in 0..flows {
        let packet = common::packet(other.flow_key(0, n), PacketKind::Open);
        let verdict = router.route(now, &packet);
        assert!(matches!(verdict, Verdict::Deliver { .. }));
    }
    // One maintenance sweep over all buckets.
    for n in 0..70 {
        router.tick(now + Duration::from_millis(100 * n));
    }
    let order = (0..flows).map(|n| (u64::from(n) * 7_919 % u64::from(flows)) as u32);
    let packets: Vec<_> = order.map(|n| packet_bytes(&other, n)).collect();
    // Each side has its own copy, so that neither finds in the cache what the
    // other has just read.
    let plain_packets: Vec<_> = packets.clone();
    let mut ratios = Vec::new();
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut plain_time = Duration::ZERO;
        let mut time = Duration::ZERO;
        for (batch, plain_batch) in packets
            .chunks(BATCH_PACKETS)
            .zip(plain_packets.chunks(BATCH_PACKETS))
        {
            let start = Instant::now();
            for buf in plain_batch {
                black_box(plain.route(black_box(buf)));
            }
            plain_time += start.elapsed();
            let start = Instant::now();
            for buf in batch {
                let packet = parse_request(black_box(buf)).unwrap();
                black_box(router.route(now, &packet));
            }
            time += start.elapsed();
        }
        ratios.push(plain_time.as_secs_f64() / time.as_secs_f64());
        times.push(time.as_secs_f64() * 1e9 / f64::from(flows));
    }
    ratios.sort_by(f64::total_cmp);
    times.sort_by(f64::total_cmp);
    let name = format!("packets/s to plain hash, {flows} flows, median");
    if has_target {
        report.at_least(&name, ratios[ROUNDS / 2], 0.7);
    } else {
        report.print(&name, ratios[ROUNDS / 2]);
    }
    report.print("  ns per packet, median", times[ROUNDS / 2]);
}

fn main() {
    let mut report = Report::default();
    measure(&mut report, 3_750, false);
    measure(&mut report, 30_000, true);
    measure(&mut report, 240_000, false);
    report.finish();
}
