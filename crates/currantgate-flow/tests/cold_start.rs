// NOTE FROM THE MAINTAINER (remove this block once dealt with): found with the real daemons
// (`currantgate demo`: 8 entries, 1,024 buckets x 2 services, 15 + 5 upstreams, budget 4,096 B/s):
// 2,174 of 6,598 flows broken, control traffic pinned at the budget (4.9-5.2 KB/s) for ever.
// Seen in traces: entries at rest with different owners of one bucket for > 15 s, e.g. entry 1 delivers
// to X, keeper 2 to Y. Causes read off the code:
// 1. `assign` makes an unowned bucket Stable at its keeper at once. While entries come up one after
//    another each is for a moment sole keeper by its own view, so several assign the same buckets, and
//    nobody waits for marks. An unowned bucket must go through Prepare like any other (no new flow until
//    all live entries have marked it; a higher version wins), or not be planned until the view of
//    entries and of upstreams has been quiet for ~2 s, or both.
// 2. The repair (digests, pulls, states) starves behind transfers for as long as the budget is shut.
//    Divergence must be repaired before voluntary moves are planned: no voluntary move while this
//    entry's own budget is behind or repairs are outstanding.
// 3. Upstreams are announced one by one, so the first one gets all buckets and even_out moves them back
//    by 2 a second and keeper: > 1 minute and KB/s for buckets without flows. Moves of unowned or empty
//    buckets must cost a few bytes each: run-length / dictionary messages (Prepare/Prepared/Commit/
//    Committed for a list of buckets with one (from,to) pair of dictionary indices; versions as deltas).
//    Aim: the first table of 2 services x 1,024 buckets in force on 8 entries within 5 s at 4,096 B/s.
// 4. `is_synced` at a cold start (all Joining): entries come to Serving at different moments.
//! A site that starts from nothing settles within its budget and breaks no flow.

mod common;

use std::time::Duration;

use common::{Net, TWO_SERVICES};
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
    for _ in 0..60 {
        net.run(Duration::from_millis(50));
        let synced: Vec<_> = net
            .nodes
            .iter()
            .filter(|(_, n)| n.router.is_synced())
            .map(|(id, _)| *id)
            .collect();
        for id in synced {
            if net.stages[&id] == EntryStage::Joining {
                net.set_stage(id, EntryStage::Serving);
            }
        }
    }
    assert_eq!(net.serving().len(), 8);
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
