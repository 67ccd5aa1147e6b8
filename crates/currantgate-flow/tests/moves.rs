//! Moves of buckets among entries that hear of changes at different times.

mod common;

use std::time::Duration;

use common::{Net, TWO_SERVICES};
use currantgate_membership::{EntryStage, UpstreamState};

fn net_with_flows(seed: u64) -> (Net, Vec<u64>, Vec<currantgate_packet::FlowKey>) {
    let mut net = Net::new(seed, 5, 64, TWO_SERVICES);
    let ups: Vec<_> = (0..6).map(|n| net.add_upstream(0, n, 1)).collect();
    net.add_upstream(1, 100, 1);
    net.spread_upstreams();
    net.run_s(3);
    let keys = net.open_many(0, 300, Duration::from_secs(3));
    assert!(keys.iter().all(|k| net.flows[k].upstream.is_some()));
    (net, ups, keys)
}

#[test]
fn drained_upstream_keeps_its_flows_and_gets_no_new_ones() {
    let (mut net, ups, keys) = net_with_flows(1);
    net.view_delay_ms = 1_500;
    let begun = net.now;
    net.set_state(ups[0], UpstreamState::Draining);
    let more = net.open_many(0, 400, Duration::from_secs(8));
    net.send_through_all(&keys);
    net.send_through_all(&more);
    assert_eq!(net.broken(), 0);
    let last = net.last_new[&ups[0]];
    let delay = Duration::from_millis(3_000 + net.view_delay_ms);
    assert!(last <= begun + delay, "new flow {:?} after", last - begun);
    assert_eq!(net.moving(), 0);
    assert!(net.agree());
}

#[test]
fn joining_entry_and_leaving_entry_break_nothing() {
    let (mut net, ups, keys) = net_with_flows(2);
    net.set_state(ups[1], UpstreamState::Draining);
    net.run(Duration::from_millis(500));
    net.start_entry(9, EntryStage::Joining);
    net.spread_entries();
    net.run_s(5);
    assert!(net.nodes[&9].router.is_synced());
    net.set_stage(9, EntryStage::Serving);
    net.run_s(3);
    net.set_stage(2, EntryStage::Leaving);
    net.run_s(5);
    net.kill_entry(2);
    net.spread_entries();
    net.set_state(ups[2], UpstreamState::Draining);
    net.run_s(10);
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
    assert!(net.agree());
}

#[test]
fn flows_that_stay_idle_outlive_the_replacement_of_every_entry() {
    let (mut net, ups, keys) = net_with_flows(3);
    for old in 1..=5 {
        net.start_entry(old + 20, EntryStage::Joining);
        net.spread_entries();
        net.run_s(4);
        assert!(net.nodes[&(old + 20)].router.is_synced());
        net.set_stage(old + 20, EntryStage::Serving);
        net.run_s(10);
        net.set_stage(old, EntryStage::Leaving);
        net.run_s(15);
        assert!(net.nodes[&old].router.may_leave());
        net.kill_entry(old);
        net.spread_entries();
        net.run_s(2);
    }
    for up in &ups[..4] {
        net.set_state(*up, UpstreamState::Draining);
    }
    net.run_s(20);
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
    assert!(net.agree());
}
