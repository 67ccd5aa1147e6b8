//! Failures of entries and upstreams, and network partitions.

mod common;

use std::time::Duration;

use common::{Simulation, TWO_SERVICES};
use currantgate_flow::DropReason;
use currantgate_membership::{EntryStage, Presence, UpstreamState};
use currantgate_packet::{FlowKey, PacketKind, Refusal};
use rstest::rstest;

fn simulation_with_flows(seed: u64) -> (Simulation, Vec<u64>, Vec<FlowKey>) {
    let mut sim = Simulation::new(seed, 6, 64, TWO_SERVICES);
    let ups: Vec<_> = (0..6).map(|n| sim.add_upstream(0, n, 1)).collect();
    sim.add_upstream(1, 100, 1);
    sim.publish_upstreams();
    sim.run_seconds(3);
    let keys = sim.open_flows_over(0, 300, Duration::from_secs(3));
    (sim, ups, keys)
}

/// Guards against moves that stay unfinished or break flows when their
/// coordinator dies: it dies at various instants of its moves, the others learn
/// of it two seconds later, and new flows keep arriving.
#[rstest]
fn coordinator_death_at_any_step_ends_with_equal_tables(
    #[values(1, 2, 4, 6, 8, 10, 13, 16, 20, 25, 30, 40, 60, 100)] after_ms: u64,
    #[values(1, 2, 3)] coordinator: u16,
) {
    let (mut sim, ups, keys) = simulation_with_flows(u64::from(coordinator) * 1_000 + after_ms);
    sim.view_delay_ms = 2;
    sim.set_state(ups[0], UpstreamState::Draining);
    sim.set_state(ups[1], UpstreamState::Draining);
    sim.run(Duration::from_millis(after_ms));
    sim.kill_entry(coordinator);
    let more = sim.open_flows_over(0, 100, Duration::from_secs(2));
    sim.publish_entries();
    sim.run_seconds(10);
    sim.establish(&more);
    sim.send_via_all(&keys);
    sim.send_via_all(&more);
    assert_eq!(sim.moving_buckets(), 0);
    assert!(sim.tables_agree());
    assert_eq!(sim.broken_flows(), 0);
}

#[test]
fn second_entry_death_after_takeover_breaks_no_flow() {
    let (mut sim, ups, keys) = simulation_with_flows(11);
    for entry in [2, 5] {
        sim.kill_entry(entry);
        sim.run_seconds(2);
        sim.publish_entries();
        sim.run_seconds(8);
    }
    sim.set_state(ups[0], UpstreamState::Draining);
    sim.run_seconds(10);
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
    assert!(sim.tables_agree());
}

#[test]
fn callers_of_a_gone_upstream_get_unsolicited_refusals() {
    let (mut sim, ups, keys) = simulation_with_flows(12);
    sim.set_presence(ups[0], Presence::Gone);
    sim.run_seconds(5);
    for key in &keys {
        let flow = &sim.flows[key];
        let lost = flow.upstream == Some(ups[0]);
        assert_eq!(sim.notified_callers.contains(key), lost);
        assert_eq!(flow.refused, lost.then_some(Refusal::Gone));
    }
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
}

#[test]
fn flows_of_an_expired_upstream_continue_and_new_ones_avoid_it() {
    let (mut sim, ups, keys) = simulation_with_flows(13);
    let begun = sim.now;
    sim.set_presence(ups[0], Presence::Expired);
    sim.run_seconds(1);
    sim.open_flows_over(0, 100, Duration::from_secs(2));
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
    let last = sim.last_new_flow[&ups[0]];
    assert!(last <= begun + Duration::from_millis(100));
}

#[test]
fn reused_address_never_gets_packets_of_old_flows() {
    let (mut sim, ups, keys) = simulation_with_flows(14);
    // One upstream is succeeded by one of another service at the same address.
    sim.upstreams.shift_remove(&ups[0]);
    sim.add_upstream(1, 0, 7);
    // One upstream restarts in place.
    sim.upstreams.shift_remove(&ups[1]);
    sim.add_upstream(0, 1, 2);
    // The lease of one upstream has expired when its address is announced
    // again.
    sim.upstreams[&ups[2]].1 = Presence::Expired;
    sim.add_upstream(1, 2, 5);
    sim.view_delay_ms = 0;
    sim.publish_upstreams();
    sim.run_seconds(1);
    sim.send_via_all(&keys);
    assert_eq!(sim.misrouted, 0);
    let ended = [Some(ups[0]), Some(ups[1]), Some(ups[2])];
    let gone = |k: &&FlowKey| ended.contains(&sim.flows[*k].upstream);
    let is_refused = |k: &FlowKey| sim.flows[k].refused == Some(Refusal::Gone);
    assert!(keys.iter().filter(gone).all(is_refused));
    let others = keys.iter().filter(|k| !gone(k));
    assert!(others.clone().count() > 0);
    assert!(others.into_iter().all(|k| !sim.flows[k].broken));
}

#[test]
fn answers_from_the_wrong_service_are_dropped() {
    let (mut sim, _, keys) = simulation_with_flows(15);
    let other_service = sim.upstreams.values().last().unwrap().0.address;
    sim.deliver_answer(other_service, keys[0]);
    assert_eq!(sim.drops[&DropReason::WrongService], 1);
    sim.deliver_answer(([10, 9, 9, 9], 1).into(), keys[0]);
    assert_eq!(sim.drops[&DropReason::UnknownUpstream], 1);
}

#[test]
fn flow_refused_as_not_run_reached_no_upstream() {
    let site = TWO_SERVICES.replace("join", "limits = { max_flows = 20 }\njoin");
    let mut sim = Simulation::new(16, 6, 64, &site);
    let keys: Vec<_> = (0..30).map(|_| sim.open_flow(0)).collect();
    sim.establish(&keys);
    let not_run = |k: &FlowKey| sim.flows[k].refused == Some(Refusal::NotRun);
    assert!(keys.iter().all(not_run), "no upstream is there");
    let ups: Vec<_> = (0..6).map(|n| sim.add_upstream(0, n, 1)).collect();
    sim.publish_upstreams();
    sim.run_seconds(200);
    let more: Vec<_> = (0..600).map(|_| sim.open_flow(0)).collect();
    sim.establish(&more);
    // Two entries die at once, so that some flows lose both replicas.
    sim.kill_entry(3);
    sim.kill_entry(4);
    sim.publish_entries();
    for up in ups {
        sim.set_presence(up, Presence::Expired);
    }
    sim.run_seconds(2);
    let keys: Vec<_> = sim.flows.keys().copied().collect();
    for key in keys {
        sim.send(key, PacketKind::Open);
    }
    sim.run_seconds(2);
    let refused = sim.flows.values();
    let refused: Vec<_> = refused
        .filter(|f| f.refused == Some(Refusal::NotRun))
        .collect();
    assert!(refused.len() > 300);
    assert!(refused.iter().all(|f| f.reached.is_empty()));
}

#[test]
fn partitioned_entries_serve_and_merge_afterwards() {
    let (mut sim, ups, keys) = simulation_with_flows(17);
    sim.partitioned = [1, 5].into_iter().collect();
    sim.publish_entries();
    sim.run_seconds(5);
    // Each side of the partition drains an upstream and receives new flows.
    sim.set_state(ups[2], UpstreamState::Draining);
    sim.run_seconds(10);
    let more = sim.open_flows_on_all_entries(200);
    sim.partitioned.clear();
    sim.publish_entries();
    sim.run_seconds(30);
    assert!(sim.tables_agree());
    assert_eq!(sim.moving_buckets(), 0);
    sim.send_via_all(&keys);
    sim.send_via_all(&more);
    assert_eq!(sim.broken_flows(), 0);
}

#[test]
fn reused_caller_addresses_open_a_new_flow_at_another_upstream() {
    let (mut sim, ups, keys) = simulation_with_flows(18);
    let old: Vec<_> = keys
        .iter()
        .filter(|k| sim.flows[*k].upstream == Some(ups[0]))
        .copied()
        .collect();
    sim.set_state(ups[0], UpstreamState::Draining);
    sim.run_seconds(10);
    for key in &old {
        sim.close_flow(*key);
    }
    sim.run_seconds(2);
    for key in &old {
        sim.flows.shift_remove(key);
        sim.send(*key, PacketKind::Open);
    }
    sim.establish(&old);
    sim.send_via_all(&old);
    assert_eq!(sim.broken_flows(), 0);
    for key in &old {
        let upstream = sim.flows[key].upstream;
        assert!(upstream.is_some() && upstream != Some(ups[0]));
    }
}

#[test]
fn entry_that_restarts_unnoticed_synchronizes_first() {
    let (mut sim, ups, keys) = simulation_with_flows(19);
    sim.set_state(ups[0], UpstreamState::Draining);
    sim.run_seconds(5);
    // The entry restarts so fast that the others don't notice.
    sim.start_entry(4, EntryStage::Serving);
    sim.publish_entries();
    sim.run_seconds(5);
    assert!(sim.nodes[&4].router.is_synced());
    sim.set_state(ups[1], UpstreamState::Draining);
    sim.run_seconds(10);
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
    assert!(sim.tables_agree());
}
