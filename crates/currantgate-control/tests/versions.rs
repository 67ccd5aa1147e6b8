//! Site files with their own versions: the highest version wins, and an
//! acknowledged version is neither lost nor refused later.

mod common;

use std::time::Duration;

use common::net::{Net, address};
use currantgate_control::{ApplyAnswer, ReadAnswer, RefuseReason, VoterChange, VoterId};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rstest::rstest;

fn wait_for_leader(net: &mut Net) -> VoterId {
    net.run_until("a leader", |net| net.leader().is_some());
    net.leader().unwrap()
}

/// Sends a file with a version to the leader and returns the answer.
fn apply(net: &mut Net, version: u64, text: &str) -> ApplyAnswer {
    let leader = wait_for_leader(net);
    let id = net.apply_version(leader, version, text);
    net.run_until("an answer", |net| net.answers.contains_key(&id));
    net.answers[&id].clone()
}

fn read(net: &mut Net, at: VoterId) -> ReadAnswer {
    let id = net.read_confirmed(at);
    net.run_until("an answer", |net| net.reads.contains_key(&id));
    net.reads[&id].clone()
}

#[rstest]
#[case::higher(8, "b", ApplyAnswer::Accepted(8))]
#[case::much_higher(700, "b", ApplyAnswer::Accepted(700))]
#[case::resent(7, "a", ApplyAnswer::AlreadyAccepted(7))]
#[case::lower(3, "b", ApplyAnswer::Superseded(7))]
fn a_version_after_version_7_is_answered(
    #[case] version: u64,
    #[case] text: &str,
    #[case] expected: ApplyAnswer,
) {
    let mut net = Net::new(3, 1);
    assert_eq!(apply(&mut net, 7, "a"), ApplyAnswer::Accepted(7));
    assert_eq!(apply(&mut net, version, text), expected);
}

#[test]
fn other_content_under_the_version_in_force_is_refused() {
    let mut net = Net::new(3, 1);
    apply(&mut net, 7, "a");
    let ApplyAnswer::Conflict(held) = apply(&mut net, 7, "b") else {
        panic!("not a conflict");
    };
    assert_eq!(held.revision, 7);
    let leader = wait_for_leader(&mut net);
    let change = read(&mut net, leader).unwrap().unwrap();
    assert_eq!(&*change.text, "a");
}

#[test]
fn two_versions_at_once_leave_the_higher_in_force() {
    let mut net = Net::new(3, 2);
    let leader = wait_for_leader(&mut net);
    let higher = net.apply_version(leader, 9, "nine");
    let lower = net.apply_version(leader, 8, "eight");
    net.run_until("answers", |net| {
        net.answers.contains_key(&higher) && net.answers.contains_key(&lower)
    });
    assert_eq!(net.answers[&lower], ApplyAnswer::Superseded(9));
    assert_eq!(&*read(&mut net, leader).unwrap().unwrap().text, "nine");
}

#[test]
fn a_read_before_the_first_version_is_empty() {
    let mut net = Net::new(3, 1);
    let leader = wait_for_leader(&mut net);
    net.run_until("the commit of the leader's first entry", |net| {
        net.replica(leader)
            .unwrap()
            .status(std::time::Instant::now())
            .commit
            > 1
    });
    assert_eq!(read(&mut net, leader), Ok(None));
}

/// Guards against an outdated read from a VM that was suspended: its clock did
/// not advance meanwhile, so by its lease alone it would still answer.
#[test]
fn an_isolated_leader_confirms_no_read() {
    let mut net = Net::new(3, 3);
    apply(&mut net, 7, "a");
    let old = wait_for_leader(&mut net);
    net.isolate(old);
    let id = net.read_confirmed(old);
    net.run_until("an answer", |net| net.reads.contains_key(&id));
    assert!(matches!(
        net.reads[&id],
        Err(RefuseReason::NotLeader { .. })
    ));
}

#[test]
fn a_follower_returns_the_leader() {
    let mut net = Net::new(3, 3);
    apply(&mut net, 7, "a");
    let leader = wait_for_leader(&mut net);
    let follower = net.ids().into_iter().find(|id| *id != leader).unwrap();
    let expected = RefuseReason::NotLeader {
        leader: Some(leader),
    };
    assert_eq!(read(&mut net, follower), Err(expected));
}

/// Guards against a site without a version in force after all VMs have restarted
/// at the same time, until a leader is elected.
#[test]
fn the_accepted_version_is_in_force_immediately_after_a_restart() {
    let mut net = Net::new(3, 4);
    apply(&mut net, 7, "a");
    net.run(Duration::from_secs(1));
    for id in net.ids() {
        net.crash(id);
    }
    for id in net.ids() {
        net.restart(id);
        let accepted = net.accepted(id).unwrap();
        assert_eq!(accepted.revision, 7, "at VM {id}");
    }
}

#[test]
fn a_leader_is_elected_after_another_steps_down() {
    let mut net = Net::new(3, 6);
    let old = wait_for_leader(&mut net);
    net.step_down(old);
    assert_eq!(net.replica(old).unwrap().leader_id(), None);
    net.run_until("a leader", |net| net.leader().is_some());
    assert_eq!(apply(&mut net, 1, "a"), ApplyAnswer::Accepted(1));
}

#[test]
fn a_voter_is_added_without_the_removal_of_another() {
    let mut net = Net::new(3, 7);
    apply(&mut net, 7, "a");
    net.join(4);
    let leader = wait_for_leader(&mut net);
    let change = VoterChange {
        lost: None,
        fresh: 4,
        address: address(4),
    };
    let id = net.change_voters(leader, change);
    net.run_until("the change", |net| net.replaced.contains_key(&id));
    let status = net
        .replica(leader)
        .unwrap()
        .status(std::time::Instant::now());
    assert_eq!(status.members.ids().count(), 4);
    net.run_until("the new voter has the accepted version", |net| {
        net.accepted(4)
            .is_some_and(|accepted| accepted.revision == 7)
    });
}

/// Guards against a new voter that never replies and blocks all later changes.
#[test]
fn a_change_with_an_unreachable_new_voter_can_be_cancelled() {
    let mut net = Net::new(3, 8);
    apply(&mut net, 7, "a");
    let leader = wait_for_leader(&mut net);
    let change = |fresh| VoterChange {
        lost: None,
        fresh,
        address: address(fresh),
    };
    net.change_voters(leader, change(5));
    net.run(Duration::from_secs(2));
    let pending = net.replica(leader).unwrap().voter_change();
    assert_eq!(pending.map(|change| change.fresh), Some(5));
    assert!(net.abandon_catch_up(leader));
    net.join(4);
    let id = net.change_voters(leader, change(4));
    net.run_until("the change", |net| net.replaced.contains_key(&id));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// After any sequence of crashes and restarts, the acknowledged version or a
    /// higher one is in force.
    #[test]
    fn an_acknowledged_version_survives_crashes(
        seed in 0..1_000_u64,
        steps in prop::collection::vec((1..40_u64, 0..4_u64), 1..12),
    ) {
        let mut net = Net::new(3, seed);
        net.loss = 5;
        net.slow_writes = 30;
        let mut acknowledged = 0;
        let mut sent: Vec<(u64, u64)> = Vec::new();
        for (version, crash) in steps {
            let leader = wait_for_leader(&mut net);
            let id = net.apply_version(leader, version, &format!("file {version}"));
            sent.push((id, version));
            net.run(Duration::from_millis(20));
            if crash > 0 && net.is_up(crash) {
                net.crash(crash);
                net.restart(crash);
            }
            for (id, version) in &sent {
                if let Some(ApplyAnswer::Accepted(_)) = net.answers.get(id) {
                    acknowledged = acknowledged.max(*version);
                }
            }
        }
        let leader = wait_for_leader(&mut net);
        let id = net.read_confirmed(leader);
        net.run_until("an answer", |net| net.reads.contains_key(&id));
        if let Ok(change) = &net.reads[&id] {
            let revision = change.as_ref().map_or(0, |c| c.revision);
            prop_assert!(revision >= acknowledged, "{} after {}", revision, acknowledged);
        }
    }
}
