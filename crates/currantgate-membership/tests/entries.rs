//! Liveness and stages of entries as seen by the others.

mod common;

use std::time::Duration;

use common::Cluster;
use currantgate_membership::EntryStage;

const SECOND: Duration = Duration::from_secs(1);

fn stage(cluster: &Cluster, at: u16, of: u16) -> Option<EntryStage> {
    let views = cluster.entries[&at].members.entries();
    views.iter().find(|v| v.id == of).map(|v| v.stage)
}

#[test]
fn all_entries_discover_each_other_and_their_stages() {
    let cluster = Cluster::serving(8, 4, 1);
    for at in 0..8 {
        assert_eq!(cluster.live_ids(at), (0..8).collect::<Vec<_>>());
        assert!((0..8).all(|of| stage(&cluster, at, of) == Some(EntryStage::Serving)));
    }
}

#[test]
fn two_entries_that_die_at_the_same_time_are_removed_by_all() {
    let mut cluster = Cluster::serving(8, 4, 2);
    cluster.kill(2);
    cluster.kill(5);
    cluster.run(SECOND * 3);
    for at in [0, 1, 3, 4, 6, 7] {
        assert_eq!(cluster.live_ids(at), [0, 1, 3, 4, 6, 7]);
    }
}

#[test]
fn an_entry_that_dies_right_after_rejoining_is_removed_again() {
    let mut cluster = Cluster::serving(8, 4, 3);
    cluster.kill(2);
    cluster.run(SECOND * 3);
    cluster.start(2);
    cluster.run(SECOND);
    assert_eq!(stage(&cluster, 0, 2), Some(EntryStage::Joining));
    cluster.kill(2);
    cluster.run(SECOND * 3);
    assert_eq!(stage(&cluster, 0, 2), None);
}

#[test]
fn an_entry_that_restarts_faster_than_the_timeout_is_joining() {
    let mut cluster = Cluster::serving(8, 4, 4);
    cluster.start(2);
    cluster.run(SECOND);
    for at in 0..8 {
        assert_eq!(stage(&cluster, at, 2), Some(EntryStage::Joining), "at {at}");
    }
}

#[test]
fn leaving_is_announced_at_once_and_is_final() {
    let mut cluster = Cluster::serving(8, 4, 5);
    let now = cluster.now;
    cluster.members(3).leave(now);
    cluster.members(3).set_stage(now, EntryStage::Serving);
    cluster.run(Duration::from_millis(20));
    for at in 0..8 {
        assert_eq!(stage(&cluster, at, 3), Some(EntryStage::Leaving), "at {at}");
    }
}

#[test]
fn a_paused_entry_returns_to_joining() {
    let mut cluster = Cluster::serving(8, 4, 6);
    cluster.entries.get_mut(&1).unwrap().is_paused = true;
    cluster.run(SECOND * 5);
    assert_eq!(stage(&cluster, 0, 1), None);
    cluster.entries.get_mut(&1).unwrap().is_paused = false;
    cluster.run(SECOND);
    assert_eq!(cluster.entries[&1].resyncs, 1);
    assert_eq!(cluster.members(1).stage(), EntryStage::Joining);
    assert_eq!(cluster.live_ids(1), (0..8).collect::<Vec<_>>());
    assert_eq!(stage(&cluster, 0, 1), Some(EntryStage::Joining));
}

#[test]
fn a_short_pause_changes_nothing() {
    let mut cluster = Cluster::serving(8, 4, 7);
    cluster.entries.get_mut(&1).unwrap().is_paused = true;
    cluster.run(SECOND);
    cluster.entries.get_mut(&1).unwrap().is_paused = false;
    cluster.run(SECOND);
    assert_eq!(cluster.entries[&1].resyncs, 0);
    assert_eq!(stage(&cluster, 0, 1), Some(EntryStage::Serving));
}

#[test]
fn an_entry_with_heartbeats_at_any_live_entry_is_alive() {
    let mut cluster = Cluster::serving(4, 4, 8);
    cluster.network.partitions.insert((0, 1));
    cluster.run(SECOND * 10);
    for at in 0..4 {
        assert_eq!(cluster.live_ids(at), [0, 1, 2, 3], "at {at}");
    }
}

#[test]
fn reports_without_heartbeats_keep_no_dead_entry_alive() {
    let mut cluster = Cluster::serving(8, 4, 9);
    cluster.network.jitter = Duration::from_millis(40);
    cluster.kill(7);
    cluster.run(SECOND * 3);
    assert!((0..7).all(|at| !cluster.live_ids(at).contains(&7)));
}

#[test]
fn live_entries_stay_alive_at_20_percent_message_loss() {
    let mut cluster = Cluster::serving(8, 4, 10);
    cluster.network.loss = 0.2;
    for _ in 0..60 {
        cluster.run(SECOND);
        assert!((0..8).all(|at| cluster.live_ids(at).len() == 8));
    }
}

#[test]
fn live_entries_stay_alive_when_records_exceed_the_budget() {
    let mut cluster = Cluster::serving(8, 4, 11);
    let renew = |cluster: &mut Cluster| {
        for host in 0..600 {
            let given = common::announcement(1, host, usize::from(host) % 4);
            let name = format!("up-{host}");
            cluster.announce(host % 8, "booking", &name, given).unwrap();
        }
    };
    for _ in 0..20 {
        renew(&mut cluster);
        cluster.run(SECOND);
        assert!((0..8).all(|at| cluster.live_ids(at).len() == 8));
    }
    assert!((0..8).all(|at| cluster.view(at).len() == 600));
}
