//! A cold start of a whole site settles within its budget and breaks no flow.

mod common;

use std::time::Duration;

use common::{Simulation, TWO_SERVICES};
use currantgate_flow::Phase;
use currantgate_membership::EntryStage;

#[test]
fn staggered_cold_start_settles_and_breaks_no_flow() {
    let mut sim = Simulation::new(11, 0, 1_024, TWO_SERVICES);
    for id in 1..=8 {
        sim.start_entry(id, EntryStage::Joining);
        sim.publish_entries();
        sim.run(Duration::from_millis(40));
    }
    for n in 0..15 {
        sim.add_upstream(0, n, 1);
        sim.publish_upstreams();
        sim.run(Duration::from_millis(70));
    }
    for n in 0..5 {
        sim.add_upstream(1, 100 + n, 1);
        sim.publish_upstreams();
        sim.run(Duration::from_millis(70));
    }
    // A daemon starts to serve once it is synchronized. Here the first one is
    // ahead by half a second and the others follow one after another, as in
    // practice.
    for id in 1..=8 {
        sim.run(Duration::from_millis(500));
        assert!(
            sim.nodes[&id].router.is_synced(),
            "entry {id} is not synced"
        );
        sim.set_stage(id, EntryStage::Serving);
    }
    assert_eq!(sim.serving_entries().len(), 8);
    sim.run_seconds(5);
    assert_eq!(
        sim.moving_buckets(),
        0,
        "buckets still move 5 s after the last entry serves"
    );
    assert!(
        sim.tables_agree(),
        "tables differ 5 s after the last entry serves"
    );
    let unowned = sim
        .nodes
        .values()
        .flat_map(|n| n.router.bucket_states())
        .filter(|(_, p)| *p == Phase::Unowned);
    assert_eq!(unowned.count(), 0);
    // Flows are opened while the tables may still be settling.
    let mut keys = Vec::new();
    for _ in 0..10 {
        keys.extend(sim.open_flows_over(0, 200, Duration::from_millis(500)));
        keys.extend(sim.open_flows_over(1, 60, Duration::from_millis(500)));
        sim.establish(&keys);
    }
    sim.run_seconds(10);
    sim.send_via_all(&keys);
    assert_eq!(sim.broken_flows(), 0);
    assert_eq!(sim.misrouted, 0);
    assert!(sim.tables_agree(), "tables differ 20 s after the start");
    assert_eq!(
        sim.moving_buckets(),
        0,
        "buckets still move 20 s after the start"
    );
    // Idle tables need hardly any control traffic.
    let before: Vec<u64> = sim.nodes.values().map(|n| n.control_bytes).collect();
    sim.run_seconds(10);
    for (node, before) in sim.nodes.values().zip(before) {
        let rate = (node.control_bytes - before) / 10;
        assert!(rate <= 512, "{rate} control bytes/s at rest");
    }
}
