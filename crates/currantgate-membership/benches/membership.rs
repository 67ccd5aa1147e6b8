//! Control traffic, propagation delays and memory of membership, in virtual time.
//!
//! See `docs/design/membership.md` for what the figures mean.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{Cluster, HEADER_BYTES, announcement, domain_name};
use currantgate_config::{EntryId, service_id};
use currantgate_membership::{
    Announcement, Members, MembersSettings, Presence, Upstream, UpstreamState,
};

const SECOND: Duration = Duration::from_secs(1);
const DOMAINS: usize = 4;

/// First incarnation of each upstream: a wall clock in milliseconds.
const FIRST_START: u64 = 1_790_000_000_000;

/// Budget in bytes per second that no scenario reaches, to measure the demand.
const UNLIMITED: u32 = 10_000_000;

/// Measured figure with its upper bound, if it has one.
struct Row {
    figure: String,
    measured: f64,
    target: Option<f64>,
}

fn main() {
    let mut rows = Vec::new();
    measure_steady_and_deploy(&mut rows);
    measure_drains(&mut rows);
    measure_scaling(&mut rows);
    rows.push(row(
        "heap and tables, bytes per upstream",
        memory_per_upstream(),
        None,
    ));
    report(&rows);
}

fn row(figure: impl Into<String>, measured: f64, target: Option<f64>) -> Row {
    Row {
        figure: figure.into(),
        measured,
        target,
    }
}

fn report(rows: &[Row]) {
    println!("{:<58} | {:>10} | {:>8}", "figure", "measured", "target");
    for row in rows {
        let target = row.target.map_or("-".into(), |t| format!("<= {t}"));
        println!("{:<58} | {:>10.3} | {target:>8}", row.figure, row.measured);
    }
    let is_missed = |row: &&Row| row.target.is_some_and(|target| row.measured > target);
    let missed: Vec<_> = rows.iter().filter(is_missed).map(|r| &r.figure).collect();
    assert!(missed.is_empty(), "targets are missed: {missed:?}");
}

/// Fleet of upstreams on a cluster, which renew their leases once a second, spread over the second.
struct Fleet {
    cluster: Cluster,
    upstreams: Vec<(EntryId, String, Announcement)>,
    /// Number of live entries that another one considers dead, summed over the entries and
    /// over tenths of seconds.
    false_positives: usize,
}

impl Fleet {
    fn new(entries: u16, upstreams: u16, bytes_per_second: u32, seed: u64) -> Self {
        let mut cluster = Cluster::new(entries, DOMAINS, seed);
        cluster.budget.bytes_per_second = bytes_per_second;
        (0..entries).for_each(|id| cluster.start(id));
        cluster.run(SECOND * 3);
        cluster.serve_all();
        let one = |i: u16| {
            let at = i % entries;
            (
                at,
                format!("up-{i}"),
                announcement(FIRST_START, i, usize::from(at) % DOMAINS),
            )
        };
        let upstreams = (0..upstreams).map(one).collect();
        Self {
            cluster,
            upstreams,
            false_positives: 0,
        }
    }

    fn run(&mut self, seconds: usize) {
        for _ in 0..seconds * 10 {
            self.run_tenth();
        }
    }

    /// Advances time by a tenth of a second, in which a tenth of the leases renew.
    fn run_tenth(&mut self) {
        let tenths = (self.cluster.now - self.cluster.base).as_millis() / 100;
        for i in (tenths as usize % 10..self.upstreams.len()).step_by(10) {
            self.announce(i);
        }
        self.cluster.run(SECOND / 10);
        let count = usize::from(self.cluster.count);
        let entries = self.cluster.entries.values();
        self.false_positives += entries
            .map(|e| count - e.members.entries().len())
            .sum::<usize>();
    }

    fn announce(&mut self, i: usize) {
        let (at, name, given) = self.upstreams[i].clone();
        let result = self.cluster.announce(at, "booking", &name, given);
        result.expect("announcements of the bench are good");
    }

    fn sent(&self) -> Vec<u64> {
        self.cluster.entries.values().map(|e| e.sent).collect()
    }

    /// Returns the bytes per second of the entry that sends most.
    fn rate(&mut self, seconds: usize) -> f64 {
        let before = self.sent();
        self.run(seconds);
        let sent = self.sent();
        let most = sent.iter().zip(&before).map(|(a, b)| a - b).max();
        most.unwrap_or(0) as f64 / seconds as f64
    }

    /// Runs until all entries hold all upstreams; returns the time in seconds.
    fn run_until_settled(&mut self) -> f64 {
        let start = self.cluster.now;
        let count = self.upstreams.len();
        while (0..self.cluster.count).any(|id| self.cluster.view(id).len() < count) {
            self.run(1);
            assert!(self.cluster.now - start < SECOND * 600, "views don't agree");
        }
        (self.cluster.now - start).as_secs_f64()
    }

    /// Replaces all upstreams, one every `gap` seconds; returns the highest rate of an
    /// entry over 10 s, in bytes per second.
    fn deploy(&mut self, gap: usize) -> f64 {
        let count = self.upstreams.len();
        let mut history = vec![self.sent()];
        for second in 0..count * gap + 20 {
            for i in 0..count {
                self.replace_step(i, second.checked_sub(i * gap));
            }
            self.run(1);
            history.push(self.sent());
        }
        let windows = history.windows(11);
        let rates = windows.map(|w| w[0].iter().zip(&w[10]).map(|(a, b)| b - a).max());
        rates.flatten().max().unwrap_or(0) as f64 / 10.0
    }

    /// Runs the step of a replacement that is due `age` seconds after its start: drain,
    /// withdraw and restart at another address, become ready.
    fn replace_step(&mut self, i: usize, age: Option<usize>) {
        let (at, name, given) = &mut self.upstreams[i];
        match age {
            Some(0) => given.state = UpstreamState::Draining,
            Some(4) => {
                let now = self.cluster.now;
                let old = given.incarnation;
                let members = self.cluster.members(*at);
                members
                    .withdraw(now, "booking", name, old)
                    .expect("it is known");
                *given = announcement(old + 1, 30_000 + i as u16, usize::from(*at) % DOMAINS);
                given.state = UpstreamState::Warming;
            }
            Some(14) => given.state = UpstreamState::Ready,
            _ => return,
        }
        self.announce(i);
    }
}

fn measure_steady_and_deploy(rows: &mut Vec<Row>) {
    let mut fleet = Fleet::new(8, 20, 4_096, 1);
    fleet.run(40);
    let steady = fleet.rate(60);
    rows.push(row(
        "steady, 8 entries x 20 upstreams, B/s per entry",
        steady,
        Some(1_024.0),
    ));
    let slow = fleet.deploy(3);
    rows.push(row(
        "deploy, one each 3 s, highest 10 s, B/s per entry",
        slow,
        Some(2_048.0),
    ));
    let fast = fleet.deploy(1);
    rows.push(row(
        "deploy, one each 1 s, highest 10 s, B/s per entry",
        fast,
        Some(2_048.0),
    ));
    let baseline = full_heartbeat_rate(8, 20);
    rows.push(row(
        "baseline, full heartbeats, steady and deploy, B/s",
        baseline,
        None,
    ));
}

fn measure_drains(rows: &mut Vec<Row>) {
    for (loss, target) in [(0.0, 1.0), (0.2, 3.0)] {
        let mut fleet = Fleet::new(8, 20, 4_096, 2);
        fleet.run(10);
        fleet.cluster.network.loss = loss;
        let mut worst = Duration::ZERO;
        for i in 0..100 {
            worst = worst.max(drain_time(&mut fleet, i % 20));
        }
        let figure = format!("drain to all of 8 entries, loss {loss}, longest of 100, s");
        rows.push(row(figure, worst.as_secs_f64(), Some(target)));
    }
}

/// Returns the time until a change of state has reached all entries.
fn drain_time(fleet: &mut Fleet, i: usize) -> Duration {
    let given = &mut fleet.upstreams[i].2;
    let state = match given.state {
        UpstreamState::Draining => UpstreamState::Ready,
        _ => UpstreamState::Draining,
    };
    given.state = state;
    fleet.announce(i);
    let name = fleet.upstreams[i].1.clone();
    let start = fleet.cluster.now;
    while !all_list_state(&fleet.cluster, &name, state) {
        fleet.cluster.run(common::STEP);
        assert!(
            fleet.cluster.now - start < SECOND * 60,
            "{name} is not seen"
        );
    }
    let time = fleet.cluster.now - start;
    fleet.run(1);
    time
}

fn all_list_state(cluster: &Cluster, name: &str, state: UpstreamState) -> bool {
    cluster.entries.values().all(|entry| {
        let mut all = entry.members.upstreams();
        let found = all.find(|(u, presence)| &*u.name == name && *presence != Presence::Gone);
        found.is_some_and(|(u, _)| u.state == state)
    })
}

fn measure_scaling(rows: &mut Vec<Row>) {
    for upstreams in [200, 2_000] {
        let mut fleet = Fleet::new(8, upstreams, 4_096, 4);
        let figure = format!("8 entries x {upstreams} upstreams: all known at 4,096 B/s, s");
        rows.push(row(figure, fleet.run_until_settled(), None));
    }
    for (entries, upstreams) in [(8, 20), (16, 20), (32, 20), (64, 20), (8, 200), (8, 2_000)] {
        let size = format!("{entries} entries x {upstreams} upstreams");
        let mut fleet = Fleet::new(entries, upstreams, UNLIMITED, 3);
        let spread = fleet.run_until_settled();
        fleet.run(35);
        fleet.false_positives = 0;
        let steady = fleet.rate(20);
        let figure = format!("{size}: live entries taken for dead");
        rows.push(row(figure, fleet.false_positives as f64, Some(0.0)));
        rows.push(row(format!("{size}: steady, B/s per entry"), steady, None));
        let baseline = full_heartbeat_rate(entries, upstreams);
        rows.push(row(format!("{size}: full heartbeats, B/s"), baseline, None));
        rows.push(row(format!("{size}: all new ones known, s"), spread, None));
        if upstreams == 20 {
            let per_change = bytes_per_change(&mut fleet);
            rows.push(row(
                format!("{size}: B per change, all entries"),
                per_change,
                None,
            ));
        }
    }
}

/// Returns the bytes that all entries together send for one change of state, beyond
/// their steady traffic.
fn bytes_per_change(fleet: &mut Fleet) -> f64 {
    let total = |fleet: &Fleet| fleet.sent().iter().sum::<u64>();
    let before = total(fleet);
    fleet.run(20);
    let steady = total(fleet) - before;
    let before = total(fleet);
    for i in 0..20 {
        fleet.upstreams[i].2.state = UpstreamState::Draining;
        fleet.announce(i);
        fleet.run(1);
    }
    let changed = total(fleet) - before;
    changed.saturating_sub(steady) as f64 / 20.0
}

/// Returns the bytes per second of an entry with the previous protocol: twice a
/// second, all its upstreams in full to every other entry.
fn full_heartbeat_rate(entries: u16, upstreams: u16) -> f64 {
    let own = upstreams.div_ceil(entries);
    let own: Vec<_> = (0..own).map(upstream).collect();
    let config = bincode::config::standard();
    let message = bincode::serde::encode_to_vec(&own, config).expect("upstreams encode");
    // One byte for the kind of the membership message.
    let bytes = HEADER_BYTES + 1 + message.len();
    2.0 * f64::from(entries - 1) * bytes as f64
}

fn upstream(i: u16) -> Upstream {
    let given = announcement(FIRST_START, i, 0);
    Upstream {
        name: format!("up-{i}").into(),
        incarnation: given.incarnation,
        service: service_id("booking"),
        address: given.address,
        domain: given.domain,
        slots: given.slots,
        state: given.state,
    }
}

/// Returns the growth of the resident set for each upstream that one entry holds, in
/// bytes; it depends on the system and has no bound.
fn memory_per_upstream() -> f64 {
    const COUNT: u16 = 40_000;
    let now = std::time::Instant::now();
    let settings = MembersSettings {
        domain: domain_name(0),
        services: common::services(),
        max_upstreams: usize::from(COUNT),
        ..MembersSettings::default()
    };
    let before = resident_bytes();
    let mut members = Members::new(settings, now);
    for i in 0..COUNT {
        let given = announcement(FIRST_START, i, 0);
        let result = members.announce(now, "booking", &format!("up-{i}"), given);
        result.expect("announcements of the bench are good");
    }
    let grown = resident_bytes().saturating_sub(before);
    assert_eq!(members.upstreams().count(), usize::from(COUNT));
    grown as f64 / f64::from(COUNT)
}

/// Returns the resident set size of this process in bytes, or 0 if it is unavailable.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0_u64) * 1_024
}
