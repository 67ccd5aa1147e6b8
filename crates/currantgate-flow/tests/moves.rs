//! Moves of buckets among entries that receive new views at different times.

mod common;

use std::time::Duration;

use common::{Simulation, TWO_SERVICES};
use currantgate_membership::{EntryStage, UpstreamState};

fn simulation_with_flows(seed: u64) -> (Simulation, Vec<u64>, Vec<currantgate_packet::FlowKey>) {
    let mut sim = Simulation::new(seed, 5, 64, TWO_SERVICES);
    let ups: Vec<_> = (0..6).map(|n| sim.add_upstream(0, n, 1)).collect();
    sim.add_upstream(1, 100, 1);
    sim.publish_upstreams();
    sim.run_seconds(3);
    let keys = sim.open_flows_over(0, 300, Duration::from_secs(3));
    assert!(keys.iter().all(|k| sim.flows[k].upstream.is_some()));
    (sim, ups, keys)
}

#[test]
fn drained_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let (mut sim, ups, keys) = simulation_with_flows(1);
    sim.view_delay_ms = 1_500;
    let begun = sim.now;
    sim.set_state(ups[0], UpstreamState::Draining);
    let more = sim.open_flows_over(0, 400, Duration::from_secs(8));
    sim.send_via_all(&keys);
    sim.send_via_all(&more);
    assert_eq!(sim.broken_flows(), 0);
    let last = sim.last_new_flow[&ups[0]];
    let delay = Duration::from_millis(3_000 + sim.view_delay_ms);
    assert!(last <= begun + delay, "new flow {:?} after", last - begun);
    assert_eq!(sim.moving_buckets(), 0);
    assert!(sim.tables_agree());
}

#[test]
fn joining_and_leaving_entries_break_no_flow() {
    let (mut sim, ups, keys) = simulation_with_flows(2);
    sim.set_state(ups[1], UpstreamState::Draining);
    sim.run(Duration::from_millis(500));
    sim.start_entry(9, EntryStage::Joining);
    sim.publish_entries();
    sim.run_seconds(5);
    assert!(sim.nodes[&9].router.is_synced());
    sim.set_stage(9, EntryStage::Serving);
    sim.run_seconds(3);
    sim.set_stage(2, EntryStage::Leaving);
    sim.run_seconds(5);
    sim.kill_entry(2);
    sim.publish_entries();
    sim.set_state(ups[2], UpstreamState::Draining);
    sim.run_seconds(10);
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
    assert!(sim.tables_agree());
}

#[test]
fn idle_flows_survive_the_replacement_of_every_entry() {
    let (mut sim, ups, keys) = simulation_with_flows(3);
    for old in 1..=5 {
        sim.start_entry(old + 20, EntryStage::Joining);
        sim.publish_entries();
        sim.run_seconds(4);
        assert!(sim.nodes[&(old + 20)].router.is_synced());
        sim.set_stage(old + 20, EntryStage::Serving);
        sim.run_seconds(10);
        sim.set_stage(old, EntryStage::Leaving);
        sim.run_seconds(15);
        assert!(sim.nodes[&old].router.may_leave());
        sim.kill_entry(old);
        sim.publish_entries();
        sim.run_seconds(2);
    }
    for up in &ups[..4] {
        sim.set_state(*up, UpstreamState::Draining);
    }
    sim.run_seconds(20);
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
    assert!(sim.tables_agree());
}
