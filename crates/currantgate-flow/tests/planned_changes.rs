//! Random sequences of planned changes over a network that loses, doubles
//! and reorders, with views that reach entries at different times.

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
    Weigh(usize, u32),
    Join,
    Leave(usize),
    /// An entry dies; the others notice two seconds later.
    Kill(usize),
    /// Some entries no longer hear the others.
    Cut(usize),
    Heal,
    /// An upstream dies and one of another service gets its address.
    Reuse(usize),
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

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (0_usize..6).prop_map(Change::Drain),
        3 => (0_usize..6).prop_map(Change::Replace),
        1 => (0_usize..6, 1_u32..4).prop_map(|(u, slots)| Change::Weigh(u, slots)),
        1 => Just(Change::Join),
        1 => (0_usize..8).prop_map(Change::Leave),
    ]
}

fn failure() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => change(),
        2 => (0_usize..8).prop_map(Change::Kill),
        1 => (0_usize..8).prop_map(Change::Cut),
        1 => Just(Change::Heal),
        1 => (0_usize..6).prop_map(Change::Reuse),
    ]
}

fn link() -> impl Strategy<Value = Link> {
    (0.0..0.15, 0.0..0.2, 2_u64..60).prop_map(|(loss, duplication, max_delay_ms)| Link {
        loss,
        duplication,
        max_delay_ms,
    })
}

struct Run {
    sim: Simulation,
    upstreams: Vec<UpstreamId>,
    keys: Vec<FlowKey>,
    next_entry: EntryId,
    incarnation: u64,
    drained: Vec<(UpstreamId, std::time::Instant)>,
}

impl Run {
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
                // Some other upstream takes the place of one that drains; the
                // old one stays until its flows have ended.
                self.drain(self.upstreams[u]);
                self.incarnation += 1;
                let n = 200 + self.incarnation as u16;
                self.upstreams[u] = self.sim.add_upstream(0, n, self.incarnation);
                self.sim.upstreams[&self.upstreams[u]].0.state = UpstreamState::Warming;
                self.sim.publish_upstreams();
            }
            Change::Weigh(u, slots) => {
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
            Change::Cut(i) => {
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
            Change::Reuse(u) => self.reuse(u),
        }
    }

    fn reuse(&mut self, u: usize) {
        let old = self.upstreams[u];
        let Some((upstream, _)) = self.sim.upstreams.get(&old).cloned() else {
            return;
        };
        if self.sim.upstreams.len() < 5 {
            return;
        }
        // Its address is only given anew once every entry knows that it went.
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

    /// Lets entries that have learnt the table serve, and those that have
    /// handed over stop.
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
        changes in prop::collection::vec((change(), 0_usize..8), 1..10),
    ) {
        let mut run = Run::new(seed, link, view_delay_ms);
        for (change, steps) in changes {
            run.apply(change);
            for _ in 0..steps {
                run.step();
            }
        }
        run.settle();
        let keys = run.keys.clone();
        run.sim.send_via_all(&keys);
        prop_assert_eq!(run.sim.broken_flows(), 0);
        prop_assert_eq!(run.sim.misrouted, 0);
        prop_assert!(keys.iter().all(|k| run.sim.flows[k].upstream.is_some()));
        prop_assert!(run.sim.flows.values().all(|f| f.refused.is_none()));
        prop_assert_eq!(run.sim.moving_buckets(), 0);
        prop_assert!(run.sim.tables_agree());
        for (id, at) in &run.drained {
            let last = run.sim.last_new_flow.get(id).copied().unwrap_or(*at);
            // The delay counts from when an entry hears of the drain; the last
            // packet may be on its way over two links.
            let slack = Duration::from_millis(3_000 + view_delay_ms + 2 * link.max_delay_ms);
            prop_assert!(last <= *at + slack);
        }
    }

    #[test]
    fn failures_end_in_one_table_and_never_cross_services(
        seed: u64,
        link in link(),
        view_delay_ms in 1_u64..1_000,
        changes in prop::collection::vec((failure(), 0_usize..8), 1..10),
    ) {
        let mut run = Run::new(seed, link, view_delay_ms);
        for (change, steps) in changes {
            run.apply(change);
            for _ in 0..steps {
                run.step();
            }
        }
        run.apply(Change::Heal);
        run.settle();
        prop_assert_eq!(run.sim.misrouted, 0);
        prop_assert_eq!(run.sim.moving_buckets(), 0);
        prop_assert!(run.sim.tables_agree());
        let refused = run.sim.flows.values().filter(|f| f.refused == Some(Refusal::NotRun));
        prop_assert!(refused.into_iter().all(|f| f.reached.is_empty()));
        // From now on each flow has one upstream, whatever became of it before.
        let keys: Vec<_> = run.keys.iter().filter(|k| run.sim.flows[*k].upstream.is_some()).copied().collect();
        for key in &keys {
            run.sim.flows[key].reached.clear();
        }
        run.sim.send_via_all(&keys);
        prop_assert!(keys.iter().all(|k| run.sim.flows[k].reached.len() <= 1));
    }
}
