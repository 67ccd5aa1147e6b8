//! Measures broken flows, balance, control traffic and memory, in virtual time.
//!
//! Prints each figure beside its target, and fails if a target is missed.

#[path = "../tests/common/mod.rs"]
mod common;
mod report;

use std::time::Duration;

use common::Simulation;
use currantgate_config::UpstreamId;
use currantgate_flow::{Router, RouterSettings};
use currantgate_membership::{EntryStage, EntryView, Presence, UpstreamState};
use currantgate_packet::{FlowHasher, FlowKey, PacketKind};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use report::Report;

const SITE: &str = r#"
domains = ["a", "b", "c", "d"]

[[service]]
name = "booking"
address = "10.0.0.1:443"
limits = { max_flows = 1000000 }
"#;
const ENTRIES: u16 = 8;
const UPSTREAMS: u16 = 15;
const FLOWS_PER_UPSTREAM: usize = 2_000;
/// Mean lifetime of a flow under churn.
const LIFETIME: Duration = Duration::from_secs(60);
/// Virtual time between two rounds of closing and opening flows.
const ROUND: Duration = Duration::from_millis(100);

/// A site with a constant number of open flows.
struct Load {
    sim: Simulation,
    open: Vec<FlowKey>,
    upstreams: Vec<UpstreamId>,
    incarnation: u64,
    rng: ChaCha8Rng,
    pending_replacements: f64,
}

impl Load {
    fn new(seed: u64, entries: u16, upstreams: u16, flows: usize) -> Self {
        let mut sim = Simulation::new(seed, entries, 1_024, SITE);
        let ids = (0..upstreams).map(|n| sim.add_upstream(0, n, 1)).collect();
        sim.publish_upstreams();
        sim.run_seconds(3);
        let mut load = Self {
            sim,
            open: Vec::new(),
            upstreams: ids,
            incarnation: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pending_replacements: 0.0,
        };
        for i in 0..flows {
            let key = load.sim.open_flow(0);
            load.open.push(key);
            if i % 64 == 0 {
                load.sim.run(Duration::from_millis(20));
            }
        }
        load.sim.run_seconds(1);
        load
    }

    /// Closes flows and opens as many others, for `time`.
    fn churn(&mut self, time: Duration) {
        let end = self.sim.now + time;
        let replaced_share = ROUND.as_secs_f64() / LIFETIME.as_secs_f64();
        while self.sim.now < end {
            self.pending_replacements += self.open.len() as f64 * replaced_share;
            while self.pending_replacements >= 1.0 {
                self.pending_replacements -= 1.0;
                self.replace_one();
            }
            for _ in 0..self.open.len() / 200 {
                let key = self.open[self.rng.random_range(0..self.open.len())];
                if self.sim.flows[&key].upstream.is_some() {
                    self.sim.send(key, PacketKind::Data);
                }
            }
            self.sim.run(ROUND);
        }
    }

    /// Continues the churn until `is_done`, and prints how long that took.
    fn wait_until(&mut self, name: &str, report: &mut Report, is_done: fn(&Simulation) -> bool) {
        let start = self.sim.now;
        for _ in 0..600 {
            if is_done(&self.sim) {
                break;
            }
            self.churn(ROUND);
        }
        let time = self.sim.now - start;
        report.print(name, time.as_secs_f64());
    }

    fn replace_one(&mut self) {
        let i = self.rng.random_range(0..self.open.len());
        let key = self.open[i];
        if self.sim.flows[&key].upstream.is_none() {
            // The flow's first packet was deferred, so the caller retransmits
            // it.
            self.sim.send(key, PacketKind::Open);
            return;
        }
        self.sim.close_flow(key);
        self.open[i] = self.sim.open_flow(0);
    }

    /// Returns the maximum divided by the mean of the upstreams' open flows.
    fn imbalance(&self) -> f64 {
        let mut counts = vec![0_usize; self.upstreams.len()];
        for key in &self.open {
            let upstream = self.sim.flows[key].upstream;
            let found = self.upstreams.iter().position(|u| Some(*u) == upstream);
            if let Some(i) = found {
                counts[i] += 1;
            }
        }
        max_to_mean(&counts)
    }

    fn replace_upstream(&mut self, i: usize) {
        self.sim
            .set_state(self.upstreams[i], UpstreamState::Draining);
        self.churn(Duration::from_secs(4));
        self.incarnation += 1;
        let n = 100 + self.incarnation as u16;
        self.upstreams[i] = self.sim.add_upstream(0, n, self.incarnation);
        let id = self.upstreams[i];
        self.sim.upstreams[&id].0.state = UpstreamState::Warming;
        self.sim.publish_upstreams();
        self.churn(Duration::from_secs(12));
        self.sim.set_state(id, UpstreamState::Ready);
    }

    fn control_bytes(&self) -> Vec<(u16, u64)> {
        let nodes = self.sim.nodes.iter();
        nodes.map(|(id, n)| (*id, n.control_bytes)).collect()
    }

    /// Sends packets of all flows through every entry, and returns the number
    /// of broken flows.
    fn count_broken_flows(&mut self) -> usize {
        let keys: Vec<_> = self
            .open
            .iter()
            .filter(|key| self.sim.flows[*key].upstream.is_some())
            .copied()
            .collect();
        self.sim.send_via_all(&keys);
        self.sim.broken_flows()
    }
}

fn max_to_mean(counts: &[usize]) -> f64 {
    let sum: usize = counts.iter().sum();
    let max = counts.iter().max().copied().unwrap_or(0);
    max as f64 * counts.len() as f64 / sum as f64
}

/// Chooses an upstream by a flow's hash alone.
type Choose = fn(u64, &[UpstreamId]) -> UpstreamId;

/// Chooses the upstream by the hash modulo their number.
fn modulo(hash: u64, upstreams: &[UpstreamId]) -> UpstreamId {
    upstreams[(hash % upstreams.len() as u64) as usize]
}

/// Chooses the upstream by rendezvous hashing, without pins.
fn consistent(hash: u64, upstreams: &[UpstreamId]) -> UpstreamId {
    let weight = |id: &UpstreamId| {
        let mixed = (hash ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    };
    *upstreams.iter().max_by_key(|id| weight(id)).unwrap()
}

/// Measures planned changes: an upstream drains, one joins, one changes its
/// weight, an entry joins and one leaves. Then an entry dies.
fn planned_changes(report: &mut Report) {
    let mut load = Load::new(
        1,
        ENTRIES,
        UPSTREAMS,
        FLOWS_PER_UPSTREAM * usize::from(UPSTREAMS),
    );
    let pause = Duration::from_secs(6);
    report.print("imbalance of static shares", load.imbalance());
    load.sim.view_delay_ms = 1_000;
    let drained = load.upstreams.remove(0);
    load.sim.set_state(drained, UpstreamState::Draining);
    load.churn(pause);
    let joined = load.sim.add_upstream(0, 50, 9);
    load.upstreams.push(joined);
    load.sim.publish_upstreams();
    load.churn(pause);
    load.sim.upstreams[&joined].0.slots = 2;
    load.sim.publish_upstreams();
    load.churn(pause);
    load.sim.start_entry(20, EntryStage::Joining);
    load.sim.publish_entries();
    load.wait_until("until a joining entry serves, s", report, |sim| {
        sim.nodes[&20].router.is_synced()
    });
    load.sim.set_stage(20, EntryStage::Serving);
    load.churn(pause);
    load.sim.set_stage(3, EntryStage::Leaving);
    load.churn(pause);
    load.wait_until("until a leaving entry may stop, s", report, |sim| {
        sim.nodes[&3].router.may_leave()
    });
    load.sim.kill_entry(3);
    load.sim.publish_entries();
    load.churn(pause);
    let broken = load.count_broken_flows();
    report.at_most("broken flows per planned change", broken as f64 / 5.0, 0.0);
    report.at_most(
        "packets to a wrong upstream",
        load.sim.misrouted as f64,
        0.0,
    );
    baselines(report, &load);
    let before = load.sim.broken_flows();
    load.sim.kill_entry(5);
    load.churn(Duration::from_secs(2));
    load.sim.publish_entries();
    load.churn(pause);
    let broken = load.count_broken_flows() - before;
    report.at_most("broken flows per unplanned entry death", broken as f64, 0.0);
}

/// Prints how many flows the two baselines would have broken in a drain, and
/// their imbalance.
fn baselines(report: &mut Report, load: &Load) {
    let hasher = FlowHasher::new(7);
    let hashes: Vec<_> = load.open.iter().map(|k| hasher.hash(k)).collect();
    let all = &load.upstreams;
    let (remaining, all_upstreams) = (&all[1..], all);
    let choices: [(&str, Choose); 2] = [("modulo hash", modulo), ("consistent hash", consistent)];
    for (name, choose) in choices {
        let moved = hashes
            .iter()
            .filter(|h| choose(**h, remaining) != choose(**h, all_upstreams));
        let broken = moved.count() as f64;
        report.print(&format!("  {name}: broken by one drain"), broken);
        let mut counts = vec![0; all.len()];
        for hash in &hashes {
            let id = choose(*hash, all);
            counts[all.iter().position(|u| *u == id).unwrap()] += 1;
        }
        report.print(&format!("  {name}: imbalance"), max_to_mean(&counts));
    }
}

/// Measures a rolling deploy of all upstreams, during which one balancer is
/// replaced.
fn deploy(report: &mut Report) {
    let mut load = Load::new(
        2,
        ENTRIES,
        UPSTREAMS,
        FLOWS_PER_UPSTREAM * usize::from(UPSTREAMS),
    );
    load.churn(LIFETIME * 3);
    let mut steady = Vec::new();
    for _ in 0..10 {
        load.churn(LIFETIME / 4);
        steady.push(load.imbalance());
    }
    steady.sort_by(f64::total_cmp);
    report.print("steady imbalance, best of 10 samples", steady[0]);
    let median = f64::midpoint(steady[4], steady[5]);
    report.print("steady imbalance, median of 10 samples", median);
    report.at_most("steady imbalance, worst of 10 samples", steady[9], 1.05);
    let start = load.sim.now;
    let before = load.control_bytes();
    for i in 0..usize::from(UPSTREAMS) {
        match i {
            5 => {
                load.sim.kill_entry(4);
                load.sim.run_seconds(2);
                load.sim.publish_entries();
            }
            7 => {
                load.sim.start_entry(24, EntryStage::Joining);
                load.sim.publish_entries();
            }
            _ if i > 7 && load.sim.stages[&24] == EntryStage::Joining => {
                load.wait_until("until the replaced balancer serves, s", report, |sim| {
                    sim.nodes[&24].router.is_synced()
                });
                load.sim.set_stage(24, EntryStage::Serving);
            }
            _ => {}
        }
        load.replace_upstream(i);
    }
    let time = (load.sim.now - start).as_secs_f64();
    let spent = |id: u16, bytes: u64| {
        let first = before.iter().find(|(b, _)| *b == id);
        bytes - first.map_or(0, |(_, bytes)| *bytes)
    };
    let rates: Vec<f64> = load
        .control_bytes()
        .into_iter()
        .map(|(id, bytes)| spent(id, bytes) as f64 / time)
        .collect();
    let most = rates.iter().copied().fold(0.0, f64::max);
    report.at_most("control bytes/s per entry during the deploy", most, 4_096.0);
    load.churn(LIFETIME * 3);
    report.at_most("imbalance after the deploy", load.imbalance(), 1.10);
    let quiet = load.control_bytes();
    load.churn(Duration::from_secs(30));
    let spent: u64 = load.control_bytes().iter().map(|(_, b)| b).sum::<u64>()
        - quiet.iter().map(|(_, b)| b).sum::<u64>();
    let rate = spent as f64 / 30.0 / quiet.len() as f64;
    report.print("control bytes/s per entry at rest", rate);
    let broken = load.count_broken_flows();
    report.at_most("broken flows in the deploy", broken as f64, 0.0);
}

/// Measures the control traffic of a move by the number of entries and flows.
fn control_traffic(report: &mut Report) {
    for (entries, flows) in [(8, 7_500), (8, 30_000), (16, 30_000), (32, 30_000)] {
        let mut load = Load::new(3, entries, UPSTREAMS, flows);
        load.sim.run_seconds(12);
        let before = load.control_bytes();
        let drained = load.upstreams[0];
        let open = load.open.iter();
        let moved = open.filter(|k| load.sim.flows[*k].upstream == Some(drained));
        let moved = moved.count() as f64;
        load.sim.set_state(drained, UpstreamState::Draining);
        load.sim.run_seconds(20);
        let spent: u64 = load.control_bytes().iter().map(|(_, b)| b).sum::<u64>()
            - before.iter().map(|(_, b)| b).sum::<u64>();
        let each = spent as f64 / f64::from(entries);
        let name = format!("  drain, {entries} entries, {flows} flows: ");
        report.print(&(name.clone() + "bytes sent per entry"), each);
        report.print(
            &(name + "bytes per flow, all entries"),
            spent as f64 / moved,
        );
    }
}

/// Measures the memory of one router per flow.
fn memory(report: &mut Report) {
    for flows in [250_000, 1_000_000] {
        let sim = Simulation::new(4, 1, 1_024, SITE);
        let settings = RouterSettings {
            id: 1,
            ..sim.settings.clone()
        };
        let mut router = Router::new(settings, sim.now);
        let mut now = sim.now + Duration::from_secs(10);
        let view = EntryView {
            id: 1,
            stage: EntryStage::Serving,
            domain: "".into(),
        };
        router.set_entries(now, &[view]);
        router.tick(now);
        let mut other = Simulation::new(4, 1, 1_024, SITE);
        other.add_upstream(0, 1, 1);
        let upstreams = other.upstreams.values().map(|(u, _)| (u, Presence::Leased));
        router.set_upstreams(now, upstreams);
        now += Duration::from_secs(5);
        router.tick(now);
        let before = report::resident_bytes();
        for n in 0..flows {
            now += Duration::from_micros(20);
            let packet = common::packet(other.flow_key(0, n), PacketKind::Open);
            router.route(now, &packet);
        }
        assert_eq!(router.open_flows(), flows as usize);
        let each = (report::resident_bytes() - before) as f64 / f64::from(flows);
        let name = format!("heap bytes per flow, {flows} flows");
        report.at_most(&name, each, 268.0);
    }
}

fn main() {
    let mut report = Report::default();
    memory(&mut report);
    planned_changes(&mut report);
    deploy(&mut report);
    control_traffic(&mut report);
    report.finish();
}
