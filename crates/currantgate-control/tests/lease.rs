//! The leader's lease is exclusive at the maximum clock drift and across
//! restarts.

mod common;

use std::time::Duration;

use common::net::Net;
use currantgate_control::{MAX_CLOCK_DRIFT_PERCENT, Message, VoterId};

const SLOWEST_PPM: i64 = MAX_CLOCK_DRIFT_PERCENT as i64 * -10_000;

/// Returns a network in which the leader, which was just isolated, has the
/// slowest clock that is allowed and all other VMs have the fastest.
fn isolate_slow_leader() -> (Net, VoterId) {
    let mut net = Net::new(3, 5);
    net.step = Duration::from_millis(1);
    let slow_leader = 1;
    for id in 1..=3 {
        net.set_clock(
            id,
            if id == slow_leader {
                SLOWEST_PPM
            } else {
                -SLOWEST_PPM
            },
        );
    }
    while net.leader() != Some(slow_leader) {
        net.run_until("a leader", |net| net.leader().is_some());
        if let Some(other) = net.leader().filter(|leader| *leader != slow_leader) {
            net.crash(other);
            net.run_until("another leader", |net| net.leader().is_some());
            net.restart(other);
        }
    }
    net.run(Duration::from_secs(1));
    net.isolate(slow_leader);
    net.votes = 0;
    (net, slow_leader)
}

/// Requests votes from all other VMs while the leader holds the lease, and checks
/// that none is granted.
fn request_votes_during_lease(net: &mut Net, leader: VoterId) {
    let term = net
        .replica(leader)
        .unwrap()
        .status(std::time::Instant::now())
        .term;
    let mut steps = 0;
    while net.leader() == Some(leader) {
        for to in net.ids().into_iter().filter(|id| *id != leader) {
            let message = Message::Vote {
                term: term + 1,
                last_index: 1_000,
                last_term: term,
            };
            net.inject(9, to, message);
        }
        assert_eq!(
            net.votes, 0,
            "a vote was granted {steps} ms after the isolation, during the lease"
        );
        net.step();
        steps += 1;
    }
    assert!(steps > 500, "the lease lasted only {steps} ms");
}

#[test]
fn no_vote_is_granted_during_a_lease_at_the_maximum_clock_drift() {
    let (mut net, leader) = isolate_slow_leader();
    request_votes_during_lease(&mut net, leader);
}

#[test]
fn no_vote_is_granted_during_a_lease_after_a_restart() {
    let (mut net, leader) = isolate_slow_leader();
    for id in net.ids().into_iter().filter(|id| *id != leader) {
        net.crash(id);
        net.restart(id);
    }
    request_votes_during_lease(&mut net, leader);
}
