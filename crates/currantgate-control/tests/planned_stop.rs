//! Planned stops: the lead and the vote are passed on while the VM still runs.

mod common;

use std::time::Duration;

use common::net::{Net, address};
use currantgate_control::{ApplyAnswer, Message, ReplaceAnswer, RevisionId, VoterChange};
use rstest::rstest;

/// A round trip and a few steps; the shortest election timeout is ten times as long.
const TRANSFER_TIME: Duration = Duration::from_millis(100);

/// Returns a site with a leader that has the lease.
fn net_with_leader(voters: u64, seed: u64) -> (Net, u64) {
    let mut net = Net::new(voters, seed);
    net.run_until("a leader", |net| net.leader().is_some());
    let leader = net.leader().unwrap();
    net.run(Duration::from_millis(500));
    (net, leader)
}

/// Guards against a second without a leader at each planned restart.
#[rstest]
#[case::three_voters(3)]
#[case::five_voters(5)]
fn a_stopping_leader_is_succeeded_within_a_round_trip(#[case] voters: u64) {
    for seed in 0..50 {
        let (mut net, leader) = net_with_leader(voters, seed);
        assert!(net.transfer_lead(leader));
        net.announce_departure(leader);
        net.run(TRANSFER_TIME);
        let successor = net.leader();
        assert!(
            successor.is_some_and(|id| id != leader),
            "seed {seed}: {successor:?} leads after {leader}"
        );
    }
}

/// Guards against an acknowledged change that is lost, and against one whose sender waits in
/// vain, when the leader stops meanwhile.
#[test]
fn a_change_in_progress_is_answered_before_the_lead_is_passed_on() {
    let (mut net, leader) = net_with_leader(3, 4);
    let change = net.apply(leader, RevisionId::empty(), "a");
    assert!(!net.transfer_lead(leader), "the change is not complete");
    let refused = net.apply(leader, RevisionId::empty(), "b");
    assert!(matches!(net.answers[&refused], ApplyAnswer::Refused(_)));
    net.run(TRANSFER_TIME);
    assert_eq!(net.answers[&change], ApplyAnswer::Accepted(1));
    assert!(net.transfer_lead(leader));
    net.run(TRANSFER_TIME);
    let successor = net.leader().unwrap();
    assert_eq!(net.accepted(successor).unwrap().revision, 1);
}

/// Guards against callers that have to try again when a leader that goes on running passes its
/// lead on: it does so only while it has nothing to answer, and takes changes until then.
#[test]
fn a_lead_is_passed_on_only_while_nothing_is_in_progress() {
    let (mut net, leader) = net_with_leader(3, 5);
    let successor = net.ids().into_iter().find(|id| *id != leader).unwrap();
    assert!(!net.pass_lead(leader, 9), "it is no voter");
    let first = net.apply(leader, RevisionId::empty(), "a");
    assert!(!net.pass_lead(leader, successor), "a change is in progress");
    net.run(TRANSFER_TIME);
    assert_eq!(net.answers[&first], ApplyAnswer::Accepted(1));
    let second = net.apply(leader, net.accepted(leader).unwrap(), "b");
    net.run(TRANSFER_TIME);
    assert_eq!(net.answers[&second], ApplyAnswer::Accepted(2));
    assert!(net.pass_lead(leader, successor));
    net.run(TRANSFER_TIME);
    assert_eq!(net.leader(), Some(successor));
    assert_eq!(net.accepted(successor).unwrap().revision, 2);
}

/// Guards against a lead that is passed on to a voter which stops too.
#[test]
fn the_lead_is_not_passed_on_to_a_voter_that_stops() {
    let (mut net, leader) = net_with_leader(3, 7);
    let stopping = net.ids().into_iter().find(|id| *id != leader).unwrap();
    net.announce_departure(stopping);
    net.run(Duration::from_millis(50));
    assert!(net.is_departing(leader, stopping));
    assert!(net.transfer_lead(leader));
    net.announce_departure(leader);
    net.run(TRANSFER_TIME);
    let successor = net.leader().unwrap();
    assert!(successor != leader && successor != stopping);
}

/// Guards against two leaders with a lease: a request to start an election counts only in the
/// term of the leader that resigned.
#[test]
fn a_late_request_to_start_an_election_is_ignored() {
    let (mut net, leader) = net_with_leader(3, 9);
    let other = net.ids().into_iter().find(|id| *id != leader).unwrap();
    let term = net
        .replica(other)
        .unwrap()
        .status(std::time::Instant::now())
        .term;
    net.votes = 0;
    net.inject(leader, other, Message::StartElection { term: term - 1 });
    let third = net
        .ids()
        .into_iter()
        .find(|id| *id != leader && *id != other);
    net.inject(third.unwrap(), other, Message::StartElection { term });
    net.run(TRANSFER_TIME);
    assert_eq!((net.votes, net.leader()), (0, Some(leader)));
}

/// Guards against a leader without a vote that is not told of a stop, and against one that can't
/// replace the vote by its own.
#[test]
fn a_leader_without_a_vote_takes_the_vote_of_a_voter_that_stops() {
    let (mut net, leader) = net_with_leader(4, 6);
    let others: Vec<_> = net.ids().into_iter().filter(|id| *id != leader).collect();
    let drop_vote = VoterChange {
        lost: Some(leader),
        fresh: others[0],
        address: address(others[0]),
    };
    let id = net.change_voters(leader, drop_vote);
    net.run(TRANSFER_TIME);
    assert_eq!(net.replaced.get(&id), Some(&ReplaceAnswer::Done));
    net.run(Duration::from_secs(5));
    assert_eq!(net.leader(), Some(leader), "it leads without a vote");
    net.announce_departure(others[0]);
    net.run(TRANSFER_TIME);
    assert!(net.is_departing(leader, others[0]));
    let take_vote = VoterChange {
        lost: Some(others[0]),
        fresh: leader,
        address: address(leader),
    };
    let id = net.change_voters(leader, take_vote);
    net.run(TRANSFER_TIME);
    assert_eq!(net.replaced.get(&id), Some(&ReplaceAnswer::Done));
    net.announce_departure(others[0]);
    net.run(TRANSFER_TIME);
    assert!(net.replica(others[0]).unwrap().is_released());
    let change = net.apply(leader, RevisionId::empty(), "a");
    net.run(TRANSFER_TIME);
    assert_eq!(net.answers[&change], ApplyAnswer::Accepted(1));
}

/// Guards against a VM that stops before its removal from the voters is committed.
#[test]
fn a_voter_is_released_only_after_its_removal_is_committed() {
    let (mut net, leader) = net_with_leader(3, 2);
    let stopping = net.ids().into_iter().find(|id| *id != leader).unwrap();
    net.join(4);
    net.announce_departure(stopping);
    net.run(TRANSFER_TIME);
    assert!(!net.replica(stopping).unwrap().is_released());
    let change = VoterChange {
        lost: Some(stopping),
        fresh: 4,
        address: address(4),
    };
    let id = net.change_voters(leader, change);
    while net.replaced.get(&id) != Some(&ReplaceAnswer::Done) {
        net.announce_departure(stopping);
        net.step();
        let is_released = net.replica(stopping).unwrap().is_released();
        assert!(!is_released || net.replaced.contains_key(&id));
    }
    net.announce_departure(stopping);
    net.run(TRANSFER_TIME);
    assert!(net.replica(stopping).unwrap().is_released());
}
