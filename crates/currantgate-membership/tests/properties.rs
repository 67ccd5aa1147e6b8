//! Properties under any sequence of failures of entries, upstreams and the network.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Cluster, Network, announcement, services};
use currantgate_config::{EntryId, Incarnation};
use currantgate_membership::{Announcement, Presence, UpstreamState};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const DOMAINS: usize = 3;
const ENTRIES: u16 = 6;
const NAMES: usize = 6;
const HOSTS: u16 = 8;
const SECOND: Duration = Duration::from_secs(1);

/// Budget of an entry in bytes per second and its burst in bytes, so small that it
/// limits the traffic.
const BUDGET: (u32, u32) = (1_536, 3_072);

/// Event of a scenario.
#[derive(Clone, Debug)]
enum Event {
    /// An upstream starts or restarts at a free address.
    Start {
        name: usize,
        host: u16,
    },
    Crash(usize),
    Drain(usize),
    Withdraw(usize),
    Kill(EntryId),
    StartEntry(EntryId),
    Pause(EntryId),
    Resume(EntryId),
    Partition(usize),
    NetworkFaults {
        loss: f64,
        duplicates: f64,
        jitter_ms: u64,
    },
    Heal,
    Pass {
        quarter_seconds: u32,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let entry = || 0..ENTRIES;
    let name = || 0..NAMES;
    prop_oneof![
        6 => (name(), 1..=HOSTS).prop_map(|(name, host)| Event::Start { name, host }),
        2 => name().prop_map(Event::Crash),
        2 => name().prop_map(Event::Drain),
        2 => name().prop_map(Event::Withdraw),
        2 => entry().prop_map(Event::Kill),
        2 => entry().prop_map(Event::StartEntry),
        1 => entry().prop_map(Event::Pause),
        2 => entry().prop_map(Event::Resume),
        1 => (0..DOMAINS).prop_map(Event::Partition),
        3 => (0.0..0.4, 0.0..0.3, 0..400u64).prop_map(|(loss, duplicates, jitter_ms)| {
            Event::NetworkFaults { loss, duplicates, jitter_ms }
        }),
        2 => Just(Event::Heal),
        8 => (1..40u32).prop_map(|quarter_seconds| Event::Pass { quarter_seconds }),
    ]
}

/// Upstream process that announces itself to the entries of its domain in turn.
#[derive(Clone, Debug)]
struct Process {
    name: usize,
    announcement: Announcement,
}

struct CheckedCluster {
    cluster: Cluster,
    running: BTreeMap<usize, Process>,
    /// Incarnations that were replaced or withdrawn, or whose address was reused.
    ended: BTreeSet<(Box<str>, Incarnation)>,
    /// Started incarnations with the host of their address.
    started: BTreeMap<(Box<str>, Incarnation), u16>,
    /// Incarnations that each entry has listed as gone.
    gone: BTreeSet<(EntryId, Box<str>, Incarnation)>,
    newest: BTreeMap<(EntryId, Box<str>), Incarnation>,
    incarnations: Incarnation,
    turn: usize,
}

fn name_of(name: usize) -> Box<str> {
    format!("up-{name}").into()
}

impl CheckedCluster {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::new(ENTRIES, DOMAINS, seed);
        cluster.tick = Duration::from_millis(10);
        cluster.budget.bytes_per_second = BUDGET.0;
        cluster.budget.burst_bytes = BUDGET.1;
        (0..ENTRIES).for_each(|id| cluster.start(id));
        Self {
            cluster,
            running: BTreeMap::new(),
            ended: BTreeSet::new(),
            started: BTreeMap::new(),
            gone: BTreeSet::new(),
            newest: BTreeMap::new(),
            incarnations: 0,
            turn: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        let now = self.cluster.now;
        match event {
            Event::Start { name, host } => self.start(*name, *host),
            Event::Crash(name) => drop(self.running.remove(name)),
            Event::Drain(name) => {
                if let Some(process) = self.running.get_mut(name) {
                    process.announcement.state = UpstreamState::Draining;
                }
            }
            Event::Withdraw(name) => self.withdraw(*name),
            Event::Kill(id) => self.kill(*id),
            Event::StartEntry(id) => self.start_entry(*id),
            Event::Pause(id) => self.set_paused(*id, true),
            Event::Resume(id) => self.set_paused(*id, false),
            Event::Partition(domain) => self.cluster.partition_domain(*domain),
            Event::NetworkFaults {
                loss,
                duplicates,
                jitter_ms,
            } => {
                self.cluster.network.loss = *loss;
                self.cluster.network.duplicates = *duplicates;
                self.cluster.network.jitter = Duration::from_millis(*jitter_ms);
            }
            Event::Heal => self.cluster.network = Network::default(),
            Event::Pass { quarter_seconds } => self.pass(*quarter_seconds),
        }
        for entry in self.cluster.entries.values_mut().filter(|e| !e.is_paused) {
            if entry.members.is_synced(now) {
                entry
                    .members
                    .set_stage(now, currantgate_membership::EntryStage::Serving);
            }
        }
    }

    fn start(&mut self, name: usize, host: u16) {
        let address = common::address(host);
        let others = self.running.values().filter(|p| p.name != name);
        if others
            .into_iter()
            .any(|p| p.announcement.address == address)
        {
            return;
        }
        self.incarnations += 1;
        let ended = self
            .started
            .iter()
            .filter(|((n, _), h)| **h == host || *n == name_of(name));
        let ended: Vec<_> = ended.map(|(key, _)| key.clone()).collect();
        self.ended.extend(ended);
        let key = (name_of(name), self.incarnations);
        self.started.insert(key, host);
        let given = announcement(self.incarnations, host, name % DOMAINS);
        self.running.insert(
            name,
            Process {
                name,
                announcement: given,
            },
        );
    }

    fn withdraw(&mut self, name: usize) {
        let now = self.cluster.now;
        let Some(process) = self.running.get(&name).cloned() else {
            return;
        };
        let Some(at) = self.announce_entry(&process) else {
            return;
        };
        let incarnation = process.announcement.incarnation;
        let text = name_of(name);
        let members = self.cluster.members(at);
        if members.withdraw(now, "booking", &text, incarnation).is_ok() {
            self.ended.insert((text, incarnation));
            self.running.remove(&name);
        }
    }

    fn kill(&mut self, id: EntryId) {
        self.cluster.kill(id);
        self.gone.retain(|(at, ..)| *at != id);
        self.newest.retain(|(at, _), _| *at != id);
    }

    fn start_entry(&mut self, id: EntryId) {
        self.kill(id);
        self.cluster.start(id);
    }

    fn set_paused(&mut self, id: EntryId, is_paused: bool) {
        if let Some(entry) = self.cluster.entries.get_mut(&id) {
            entry.is_paused = is_paused;
        }
    }

    /// Returns a running entry of the process's domain.
    fn announce_entry(&self, process: &Process) -> Option<EntryId> {
        let domain = process.name % DOMAINS;
        let ids = (0..ENTRIES).filter(|id| self.cluster.domain_of(*id) == domain);
        let answers = |id: &EntryId| self.cluster.entries.get(id).is_some_and(|e| !e.is_paused);
        let ids: Vec<_> = ids.filter(answers).collect();
        (!ids.is_empty()).then(|| ids[self.turn % ids.len()])
    }

    fn pass(&mut self, quarter_seconds: u32) {
        for quarter in 0..quarter_seconds {
            if quarter % 4 == 0 {
                self.announce_all();
            }
            self.cluster.run(SECOND / 4);
            self.check();
        }
    }

    fn announce_all(&mut self) {
        self.turn += 1;
        let running: Vec<_> = self.running.values().cloned().collect();
        for process in running {
            if let Some(at) = self.announce_entry(&process) {
                let given = process.announcement.clone();
                let _ = self
                    .cluster
                    .announce(at, "booking", &name_of(process.name), given);
            }
        }
    }

    fn check(&mut self) {
        let ids: Vec<_> = self.cluster.entries.keys().copied().collect();
        for id in ids {
            self.check_view(id);
            self.check_budget(id);
        }
    }

    fn check_view(&mut self, at: EntryId) {
        let members = &self.cluster.entries[&at].members;
        let mut leased = BTreeSet::new();
        for (upstream, presence) in members.upstreams() {
            let key = (upstream.name.clone(), upstream.incarnation);
            let seen = (at, key.0.clone(), key.1);
            if presence == Presence::Gone {
                assert!(
                    self.ended.contains(&key),
                    "{key:?} is gone at {at} but has not ended"
                );
                self.gone.insert(seen);
                continue;
            }
            assert!(!self.gone.contains(&seen), "{key:?} returned at {at}");
            let newest = self.newest.entry((at, key.0.clone())).or_default();
            assert!(key.1 >= *newest, "{key:?} returned at {at} after {newest}");
            *newest = key.1;
            if presence == Presence::Leased {
                let is_free = leased.insert(upstream.address);
                assert!(is_free, "{} has two upstreams at {at}", upstream.address);
            }
        }
    }

    fn check_budget(&self, at: EntryId) {
        let entry = &self.cluster.entries[&at];
        let time = (self.cluster.now - entry.started).as_secs_f64();
        let allowed = f64::from(BUDGET.1) + f64::from(BUDGET.0) * time;
        let one_message = (self.cluster.largest_message + common::HEADER_BYTES) as f64;
        assert!(
            entry.sent as f64 <= allowed + one_message,
            "entry {at} exceeds its budget"
        );
    }

    /// Removes all faults and runs until the entries must agree.
    fn settle(&mut self) {
        self.apply(&Event::Heal);
        for id in 0..ENTRIES {
            self.set_paused(id, false);
            if !self.cluster.entries.contains_key(&id) {
                self.start_entry(id);
            }
        }
        self.pass(4 * 30);
    }

    fn check_agreement(&self) {
        let first = self.cluster.view(0);
        for id in 1..ENTRIES {
            assert_eq!(self.cluster.view(id), first, "entries {id} and 0 differ");
            assert_eq!(self.cluster.live_ids(id).len(), usize::from(ENTRIES));
        }
        for name in self.running.keys() {
            let presence = self.cluster.presence(0, &name_of(*name));
            assert_eq!(presence, Some(Presence::Leased), "{}", name_of(*name));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_817),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_converge_after_any_faults_and_ended_incarnations_stay_ended(
        seed in any::<u64>(),
        events in prop::collection::vec(event(), 1..50),
    ) {
        assert_eq!(services()[0].join.lease_ms, 6_000);
        let mut checked = CheckedCluster::new(seed);
        for event in &events {
            checked.apply(event);
        }
        checked.settle();
        checked.check_agreement();
        prop_assert!(checked.cluster.largest_message <= 1_200);
    }
}
