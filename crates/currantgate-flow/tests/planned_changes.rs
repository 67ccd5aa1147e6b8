//! Random sequences of changes over a network that loses, duplicates and
//! reorders messages, with views that reach entries at different times.

mod common;

use std::time::Duration;

use common::{Link, Simulation, TWO_SERVICES};
use currantgate_config::{EntryId, UpstreamId};
use currantgate_membership::{EntryStage, UpstreamState};
use currantgate_packet::{FlowKey, PacketKind, Refusal};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

#[derive(Clone, Copy, Debug)]
enum Change {
    Drain(usize),
    Replace(usize),
    SetWeight(usize, u32),
    Join,
    Leave(usize),
    /// An entry dies; the others learn of it two seconds later.
    Kill(usize),
    /// Some entries are separated from the others.
    Partition(usize),
    Heal,
    /// An upstream dies, and an upstream of another service takes over its
    /// address.
    ReuseAddress(usize),
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

fn planned_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (0_usize..6).prop_map(Change::Drain),
        3 => (0_usize..6).prop_map(Change::Replace),
        1 => (0_usize..6, 1_u32..4).prop_map(|(u, slots)| Change::SetWeight(u, slots)),
        1 => Just(Change::Join),
        1 => (0_usize..8).prop_map(Change::Leave),
    ]
}

fn change_or_failure() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => planned_change(),
        2 => (0_usize..8).prop_map(Change::Kill),
        1 => (0_usize..8).prop_map(Change::Partition),
        1 => Just(Change::Heal),
        1 => (0_usize..6).prop_map(Change::ReuseAddress),
    ]
}

fn link() -> impl Strategy<Value = Link> {
    (0.0..0.15, 0.0..0.2, 2_u64..60).prop_map(|(loss, duplication, max_delay_ms)| Link {
        loss,
        duplication,
        max_delay_ms,
    })
}

struct Scenario {
    sim: Simulation,
    upstreams: Vec<UpstreamId>,
    keys: Vec<FlowKey>,
    next_entry: EntryId,
    incarnation: u64,
    drained: Vec<(UpstreamId, std::time::Instant)>,
}

impl Scenario {
    fn new(seed: u64, link: Link, view_delay_ms: u64) -> Self {
        let mut sim = Simulation::new(seed, 5, 32, TWO_SERVICES);
        let upstreams = (0..6).map(|n| sim.add_upstream(0, n, 1)).collect();
        sim.add_upstream(1, 100, 1);
        sim.publish_upstreams();
        sim.run_seconds(3);
        sim.link = link;
        sim.view_delay_ms = view_delay_ms;
        let keys = sim.open_flows_over(0, 120, Duration::from_secs(2));
        Self {
            sim,
            upstreams,
            keys,
            next_entry: 20,
            incarnation: 1,
            drained: Vec::new(),
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Drain(u) => self.drain(self.upstreams[u]),
            Change::Replace(u) => {
                // Another upstream replaces one that drains; the old one stays
                // until its flows have ended.
                self.drain(self.upstreams[u]);
                self.incarnation += 1;
                let n = 200 + self.incarnation as u16;
                self.upstreams[u] = self.sim.add_upstream(0, n, self.incarnation);
                self.sim.upstreams[&self.upstreams[u]].0.state = UpstreamState::Warming;
                self.sim.publish_upstreams();
            }
            Change::SetWeight(u, slots) => {
                self.sim.upstreams[&self.upstreams[u]].0.slots = slots;
                self.sim.publish_upstreams();
            }
            Change::Join => {
                self.sim.start_entry(self.next_entry, EntryStage::Joining);
                self.next_entry += 1;
                self.sim.publish_entries();
            }
            Change::Leave(i) => self.leave(i),
            Change::Kill(i) => {
                let serving = self.sim.serving_entries();
                if serving.len() > 3 {
                    self.sim.kill_entry(serving[i % serving.len()]);
                    self.sim.run(Duration::from_secs(2));
                    self.sim.publish_entries();
                }
            }
            Change::Partition(i) => {
                let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
                let side = ids
                    .iter()
                    .filter(|id| (usize::from(**id) + i).is_multiple_of(3));
                self.sim.partitioned = side.copied().collect();
                self.sim.publish_entries();
            }
            Change::Heal => {
                self.sim.partitioned.clear();
                self.sim.publish_entries();
            }
            Change::ReuseAddress(u) => self.reuse_address(u),
        }
    }

    fn reuse_address(&mut self, u: usize) {
        let old = self.upstreams[u];
        let Some((upstream, _)) = self.sim.upstreams.get(&old).cloned() else {
            return;
        };
        if self.sim.upstreams.len() < 5 {
            return;
        }
        // An address is assigned again only once every entry's view lacks the
        // upstream that had it.
        self.sim.upstreams.shift_remove(&old);
        self.sim.publish_upstreams();
        self.sim
            .run(Duration::from_millis(self.sim.view_delay_ms + 10));
        self.incarnation += 1;
        let n = 600 + self.incarnation as u16;
        let id = self.sim.add_upstream(1, n, self.incarnation);
        self.sim.upstreams[&id].0.address = upstream.address;
        self.upstreams[u] = self.sim.add_upstream(0, n + 1, self.incarnation);
        self.sim.publish_upstreams();
    }

    fn drain(&mut self, id: UpstreamId) {
        let up = &self.sim.upstreams;
        if !up.contains_key(&id) {
            return;
        }
        let is_last = up
            .values()
            .filter(|(u, _)| u.state != UpstreamState::Draining)
            .filter(|(u, _)| u.service == up[&id].0.service)
            .count()
            < 3;
        if is_last || up[&id].0.state == UpstreamState::Draining {
            return;
        }
        self.drained.push((id, self.sim.now));
        self.sim.set_state(id, UpstreamState::Draining);
    }

    fn leave(&mut self, i: usize) {
        let serving: Vec<_> = self.sim.serving_entries();
        if serving.len() < 4 {
            return;
        }
        let id = serving[i % serving.len()];
        self.sim.set_stage(id, EntryStage::Leaving);
    }

    /// Advances time, lets synchronized entries serve, stops those that have
    /// handed over, and sends some packets.
    fn step(&mut self) {
        self.sim.run(Duration::from_millis(400));
        let stages: Vec<_> = self.sim.stages.iter().map(|(i, s)| (*i, *s)).collect();
        for (id, stage) in stages {
            let router = &self.sim.nodes[&id].router;
            let (synced, idle) = (router.is_synced(), router.may_leave());
            if stage == EntryStage::Joining && synced {
                self.sim.set_stage(id, EntryStage::Serving);
            }
            let seen = self.sim.now >= self.sim.stage_since[&id] + Duration::from_secs(4);
            if stage == EntryStage::Leaving && seen && idle {
                self.sim.kill_entry(id);
                self.sim.publish_entries();
            }
        }
        for _ in 0..8 {
            let i = self.keys.len();
            let key = self.keys[(self.sim.random() as usize) % i];
            if self.sim.flows[&key].upstream.is_some() {
                self.sim.send(key, PacketKind::Data);
            }
        }
        let key = self.sim.open_flow(0);
        self.keys.push(key);
    }

    fn settle(&mut self) {
        for _ in 0..60 {
            self.step();
        }
        self.sim.link = Link::default();
        self.sim.establish(&self.keys.clone());
        self.sim.run_seconds(20);
    }
}

proptest! {
    #![proptest_config(config(48))]

    #[test]
    fn planned_changes_break_no_flow(
        seed: u64,
        link in link(),
        view_delay_ms in 1_u64..2_500,
        changes in prop::collection::vec((planned_change(), 0_usize..8), 1..10),
    ) {
        let mut scenario = Scenario::new(seed, link, view_delay_ms);
        for (change, steps) in changes {
            scenario.apply(change);
            for _ in 0..steps {
                scenario.step();
            }
        }
        scenario.settle();
        let keys = scenario.keys.clone();
        scenario.sim.send_via_all(&keys);
        prop_assert_eq!(scenario.sim.broken_flows(), 0);
        prop_assert_eq!(scenario.sim.misrouted, 0);
        prop_assert!(keys.iter().all(|k| scenario.sim.flows[k].upstream.is_some()));
        prop_assert!(scenario.sim.flows.values().all(|f| f.refused.is_none()));
        prop_assert_eq!(scenario.sim.moving_buckets(), 0);
        prop_assert!(scenario.sim.tables_agree());
        for (id, at) in &scenario.drained {
            let last = scenario.sim.last_new_flow.get(id).copied().unwrap_or(*at);
            // The delay starts when an entry learns of the drain, and the last
            // packet may take two more links to arrive.
            let slack = Duration::from_millis(3_000 + view_delay_ms + 2 * link.max_delay_ms);
            prop_assert!(last <= *at + slack);
        }
    }

    #[test]
    fn failures_end_with_equal_tables_and_never_cross_services(
        seed: u64,
        link in link(),
        view_delay_ms in 1_u64..1_000,
        changes in prop::collection::vec((change_or_failure(), 0_usize..8), 1..10),
    ) {
        let mut scenario = Scenario::new(seed, link, view_delay_ms);
        for (change, steps) in changes {
            scenario.apply(change);
            for _ in 0..steps {
                scenario.step();
            }
        }
        scenario.apply(Change::Heal);
        scenario.settle();
        prop_assert_eq!(scenario.sim.misrouted, 0);
        prop_assert_eq!(scenario.sim.moving_buckets(), 0);
        prop_assert!(scenario.sim.tables_agree());
        let refused = scenario.sim.flows.values().filter(|f| f.refused == Some(Refusal::NotRun));
        prop_assert!(refused.into_iter().all(|f| f.reached.is_empty()));
        // Whatever happened to a flow before, it must have a single upstream
        // from now on.
        let keys: Vec<_> = scenario.keys.iter().filter(|k| scenario.sim.flows[*k].upstream.is_some()).copied().collect();
        for key in &keys {
            scenario.sim.flows[key].reached.clear();
        }
        scenario.sim.send_via_all(&keys);
        prop_assert!(keys.iter().all(|k| scenario.sim.flows[k].reached.len() <= 1));
    }
}
