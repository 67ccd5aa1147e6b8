//! The leader's lease holds against clocks at the bound and restarts.

mod common;

use std::time::Duration;

use common::net::Net;
use currantgate_control::{MAX_CLOCK_DRIFT_PERCENT, Message, VoterId};

const SLOWEST_PPM: i64 = MAX_CLOCK_DRIFT_PERCENT as i64 * -10_000;

/// Returns a network whose leader has the slowest clock and all others the
/// fastest one, at a moment when the leader was just cut off.
fn cut_off_slow_leader() -> (Net, VoterId) {
    let mut net = Net::new(3, 5);
    net.step = Duration::from_millis(1);
    let slow = 1;
    for id in 1..=3 {
        net.set_clock(
            id,
            if id == slow {
                SLOWEST_PPM
            } else {
                -SLOWEST_PPM
            },
        );
    }
    while net.leader() != Some(slow) {
        net.run_until("a leader", |net| net.leader().is_some());
        if let Some(other) = net.leader().filter(|leader| *leader != slow) {
            net.crash(other);
            net.run_until("another leader", |net| net.leader().is_some());
            net.restart(other);
        }
    }
    net.run(Duration::from_secs(1));
    net.isolate(slow);
    net.votes = 0;
    (net, slow)
}

/// Asks all others for votes as long as the leader holds the lease.
fn ask_for_votes_while_leased(net: &mut Net, leader: VoterId) {
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
            "a vote is given {steps} ms after the cut, within the lease"
        );
        net.step();
        steps += 1;
    }
    assert!(steps > 500, "the lease lasted {steps} ms only");
}

#[test]
fn no_vote_is_given_within_a_lease_whatever_the_clock_rates() {
    let (mut net, leader) = cut_off_slow_leader();
    ask_for_votes_while_leased(&mut net, leader);
}

#[test]
fn no_vote_is_given_within_a_lease_after_a_restart() {
    let (mut net, leader) = cut_off_slow_leader();
    for id in net.ids().into_iter().filter(|id| *id != leader) {
        net.crash(id);
        net.restart(id);
    }
    ask_for_votes_while_leased(&mut net, leader);
}
