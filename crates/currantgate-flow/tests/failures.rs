//! Entries and upstreams that die, and failure domains that are cut off.

mod common;

use std::time::Duration;

use common::{Net, TWO_SERVICES};
use currantgate_flow::DropReason;
use currantgate_membership::{EntryStage, Presence, UpstreamState};
use currantgate_packet::{FlowKey, PacketKind, Refusal};
use rstest::rstest;

fn net_with_flows(seed: u64) -> (Net, Vec<u64>, Vec<FlowKey>) {
    let mut net = Net::new(seed, 6, 64, TWO_SERVICES);
    let ups: Vec<_> = (0..6).map(|n| net.add_upstream(0, n, 1)).collect();
    net.add_upstream(1, 100, 1);
    net.spread_upstreams();
    net.run_s(3);
    let keys = net.open_many(0, 300, Duration::from_secs(3));
    (net, ups, keys)
}

/// The coordinator dies at one instant after another of its moves; the others
/// notice two seconds later, and new flows go on arriving.
#[rstest]
fn mover_death_at_any_step_ends_in_one_table(
    #[values(1, 2, 4, 6, 8, 10, 13, 16, 20, 25, 30, 40, 60, 100)] after_ms: u64,
    #[values(1, 2, 3)] coordinator: u16,
) {
    let (mut net, ups, keys) = net_with_flows(u64::from(coordinator) * 1_000 + after_ms);
    net.view_delay_ms = 2;
    net.set_state(ups[0], UpstreamState::Draining);
    net.set_state(ups[1], UpstreamState::Draining);
    net.run(Duration::from_millis(after_ms));
    net.kill_entry(coordinator);
    let more = net.open_many(0, 100, Duration::from_secs(2));
    net.spread_entries();
    net.run_s(10);
    net.establish(&more);
    net.send_through_all(&keys);
    net.send_through_all(&more);
    assert_eq!(net.moving(), 0);
    assert!(net.agree());
    assert_eq!(net.broken(), 0);
}

#[test]
fn second_death_right_after_the_repair_breaks_nothing() {
    let (mut net, ups, keys) = net_with_flows(11);
    for entry in [2, 5] {
        net.kill_entry(entry);
        net.run_s(2);
        net.spread_entries();
        net.run_s(8);
    }
    net.set_state(ups[0], UpstreamState::Draining);
    net.run_s(10);
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
    assert!(net.agree());
}

#[test]
fn callers_of_a_gone_upstream_are_told_without_asking() {
    let (mut net, ups, keys) = net_with_flows(12);
    net.set_presence(ups[0], Presence::Gone);
    net.run_s(5);
    for key in &keys {
        let flow = &net.flows[key];
        let lost = flow.upstream == Some(ups[0]);
        assert_eq!(net.told_gone.contains(key), lost);
        assert_eq!(flow.refused, lost.then_some(Refusal::Gone));
    }
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
}

#[test]
fn flows_of_an_expired_upstream_go_on_and_new_ones_go_elsewhere() {
    let (mut net, ups, keys) = net_with_flows(13);
    let begun = net.now;
    net.set_presence(ups[0], Presence::Expired);
    net.run_s(1);
    net.open_many(0, 100, Duration::from_secs(2));
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
    let last = net.last_new[&ups[0]];
    assert!(last <= begun + Duration::from_millis(100));
}

#[test]
fn reused_address_never_gets_packets_of_old_flows() {
    let (mut net, ups, keys) = net_with_flows(14);
    // Its successor is an upstream of another service, at the same address.
    net.upstreams.shift_remove(&ups[0]);
    net.add_upstream(1, 0, 7);
    // Another one restarts in place.
    net.upstreams.shift_remove(&ups[1]);
    net.add_upstream(0, 1, 2);
    // A third one's lease has run out when its address is announced again.
    net.upstreams[&ups[2]].1 = Presence::Expired;
    net.add_upstream(1, 2, 5);
    net.view_delay_ms = 0;
    net.spread_upstreams();
    net.run_s(1);
    net.send_through_all(&keys);
    assert_eq!(net.misrouted, 0);
    let ended = [Some(ups[0]), Some(ups[1]), Some(ups[2])];
    let gone = |k: &&FlowKey| ended.contains(&net.flows[*k].upstream);
    let told = |k: &FlowKey| net.flows[k].refused == Some(Refusal::Gone);
    assert!(keys.iter().filter(gone).all(told));
    let others = keys.iter().filter(|k| !gone(k));
    assert!(others.clone().count() > 0);
    assert!(others.into_iter().all(|k| !net.flows[k].broken));
}

#[test]
fn answers_from_the_wrong_service_are_dropped() {
    let (mut net, _, keys) = net_with_flows(15);
    let stranger = net.upstreams.values().last().unwrap().0.address;
    net.answer(stranger, keys[0]);
    assert_eq!(net.drops[&DropReason::WrongService], 1);
    net.answer(([10, 9, 9, 9], 1).into(), keys[0]);
    assert_eq!(net.drops[&DropReason::UnknownUpstream], 1);
}

#[test]
fn flow_refused_as_not_run_reached_no_upstream() {
    let site = TWO_SERVICES.replace("join", "limits = { max_flows = 20 }\njoin");
    let mut net = Net::new(16, 6, 64, &site);
    let keys: Vec<_> = (0..30).map(|_| net.open(0)).collect();
    net.establish(&keys);
    let not_run = |k: &FlowKey| net.flows[k].refused == Some(Refusal::NotRun);
    assert!(keys.iter().all(not_run), "no upstream is there");
    let ups: Vec<_> = (0..6).map(|n| net.add_upstream(0, n, 1)).collect();
    net.spread_upstreams();
    net.run_s(200);
    let more: Vec<_> = (0..600).map(|_| net.open(0)).collect();
    net.establish(&more);
    // Two at once: some flows lose both entries that remembered them.
    net.kill_entry(3);
    net.kill_entry(4);
    net.spread_entries();
    for up in ups {
        net.set_presence(up, Presence::Expired);
    }
    net.run_s(2);
    let keys: Vec<_> = net.flows.keys().copied().collect();
    for key in keys {
        net.send(key, PacketKind::Open);
    }
    net.run_s(2);
    let refused = net.flows.values();
    let refused: Vec<_> = refused
        .filter(|f| f.refused == Some(Refusal::NotRun))
        .collect();
    assert!(refused.len() > 300);
    assert!(refused.iter().all(|f| f.reached.is_empty()));
}

#[test]
fn cut_off_domain_serves_and_merges_on_return() {
    let (mut net, ups, keys) = net_with_flows(17);
    net.cut = [1, 5].into_iter().collect();
    net.spread_entries();
    net.run_s(5);
    // Each side drains an upstream of its own and takes flows of its own.
    net.set_state(ups[2], UpstreamState::Draining);
    net.run_s(10);
    let more = net.open_on_sides(200);
    net.cut.clear();
    net.spread_entries();
    net.run_s(30);
    assert!(net.agree());
    assert_eq!(net.moving(), 0);
    net.send_through_all(&keys);
    net.send_through_all(&more);
    assert_eq!(net.broken(), 0);
}

#[test]
fn addresses_used_again_begin_a_new_flow_elsewhere() {
    let (mut net, ups, keys) = net_with_flows(18);
    let old: Vec<_> = keys
        .iter()
        .filter(|k| net.flows[*k].upstream == Some(ups[0]))
        .copied()
        .collect();
    net.set_state(ups[0], UpstreamState::Draining);
    net.run_s(10);
    for key in &old {
        net.close(*key);
    }
    net.run_s(2);
    for key in &old {
        net.flows.shift_remove(key);
        net.send(*key, PacketKind::Open);
    }
    net.establish(&old);
    net.send_through_all(&old);
    assert_eq!(net.broken(), 0);
    for key in &old {
        let upstream = net.flows[key].upstream;
        assert!(upstream.is_some() && upstream != Some(ups[0]));
    }
}

#[test]
fn entry_that_restarts_at_once_learns_the_table_first() {
    let (mut net, ups, keys) = net_with_flows(19);
    net.set_state(ups[0], UpstreamState::Draining);
    net.run_s(5);
    // The others never notice that it was away.
    net.start_entry(4, EntryStage::Serving);
    net.spread_entries();
    net.run_s(5);
    assert!(net.nodes[&4].router.is_synced());
    net.set_state(ups[1], UpstreamState::Draining);
    net.run_s(10);
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
    assert!(net.agree());
}
