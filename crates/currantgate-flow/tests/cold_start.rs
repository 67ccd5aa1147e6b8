//! A site that starts from nothing settles within its budget and breaks no flow.

mod common;

use std::time::Duration;

use common::{Net, TWO_SERVICES};
use currantgate_flow::Phase;
use currantgate_membership::EntryStage;

#[test]
fn entries_and_upstreams_that_come_one_by_one_settle_and_break_nothing() {
    let mut net = Net::new(11, 0, 1_024, TWO_SERVICES);
    for id in 1..=8 {
        net.start_entry(id, EntryStage::Joining);
        net.spread_entries();
        net.run(Duration::from_millis(40));
    }
    for n in 0..15 {
        net.add_upstream(0, n, 1);
        net.spread_upstreams();
        net.run(Duration::from_millis(70));
    }
    for n in 0..5 {
        net.add_upstream(1, 100 + n, 1);
        net.spread_upstreams();
        net.run(Duration::from_millis(70));
    }
    // The daemon says it serves once it is synced; in practice one entry is
    // first by half a second and the others follow one after another.
    for id in 1..=8 {
        net.run(Duration::from_millis(500));
        assert!(
            net.nodes[&id].router.is_synced(),
            "entry {id} is not synced"
        );
        net.set_stage(id, EntryStage::Serving);
    }
    assert_eq!(net.serving().len(), 8);
    net.run_s(5);
    assert_eq!(
        net.moving(),
        0,
        "buckets still move 5 s after the last entry serves"
    );
    assert!(net.agree(), "tables differ 5 s after the last entry serves");
    let unowned = net
        .nodes
        .values()
        .flat_map(|n| n.router.bucket_states())
        .filter(|(_, p)| *p == Phase::Unowned);
    assert_eq!(unowned.count(), 0);
    // Flows begin while the tables may still be settling.
    let mut keys = Vec::new();
    for _ in 0..10 {
        keys.extend(net.open_many(0, 200, Duration::from_millis(500)));
        keys.extend(net.open_many(1, 60, Duration::from_millis(500)));
        net.establish(&keys);
    }
    net.run_s(10);
    net.send_through_all(&keys);
    assert_eq!(net.broken(), 0);
    assert_eq!(net.misrouted, 0);
    assert!(net.agree(), "tables differ 20 s after the start");
    assert_eq!(net.moving(), 0, "buckets still move 20 s after the start");
    // At rest the tables cost next to nothing.
    let before: Vec<u64> = net.nodes.values().map(|n| n.control_bytes).collect();
    net.run_s(10);
    for (node, before) in net.nodes.values().zip(before) {
        let rate = (node.control_bytes - before) / 10;
        assert!(rate <= 512, "{rate} control bytes/s at rest");
    }
}
