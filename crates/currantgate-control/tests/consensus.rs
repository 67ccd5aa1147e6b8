//! Elections, replication and answers on a network without random faults.

mod common;

use std::time::Duration;

use common::net::Net;
use currantgate_control::{ApplyAnswer, Digest, RefuseReason, RevisionId};

fn wait_for_leader(net: &mut Net) -> u64 {
    net.run_until("a leader", |net| net.leader().is_some());
    net.leader().unwrap()
}

fn apply_and_wait(net: &mut Net, base: RevisionId, text: &str) -> RevisionId {
    let leader = wait_for_leader(net);
    let id = net.apply(leader, base, text);
    net.run_until("an answer", |net| net.answers.contains_key(&id));
    let revision = base.revision + 1;
    assert_eq!(net.answers[&id], ApplyAnswer::Accepted(revision));
    RevisionId {
        revision,
        digest: Digest::of(text),
    }
}

#[rstest::rstest]
#[case::one(1)]
#[case::three(3)]
#[case::five(5)]
fn an_accepted_change_reaches_every_voter(#[case] voters: u64) {
    let mut net = Net::new(voters, 1);
    let base = apply_and_wait(&mut net, RevisionId::empty(), "a");
    net.run_until("all voters have it", |net| net.all_at(base));
}

#[test]
fn concurrent_and_resent_changes_get_correct_answers() {
    let mut net = Net::new(3, 2);
    let first = apply_and_wait(&mut net, RevisionId::empty(), "a");
    let leader = wait_for_leader(&mut net);
    let ids = ["b", "c", "b"].map(|text| net.apply(leader, first, text));
    net.run_until("three answers", |net| {
        ids.iter().all(|id| net.answers.contains_key(id))
    });
    let second = RevisionId {
        revision: 2,
        digest: Digest::of("b"),
    };
    assert_eq!(net.answers[&ids[0]], ApplyAnswer::Accepted(2));
    assert_eq!(net.answers[&ids[1]], ApplyAnswer::Conflict(second));
    assert_eq!(net.answers[&ids[2]], ApplyAnswer::AlreadyAccepted(2));
    apply_and_wait(&mut net, second, "d");
    let resent = net.apply(leader, RevisionId::empty(), "a");
    assert_eq!(net.answers[&resent], ApplyAnswer::AlreadyAccepted(1));
}

#[test]
fn an_isolated_leader_answers_unknown_and_then_refuses_changes() {
    let mut net = Net::new(3, 3);
    let base = apply_and_wait(&mut net, RevisionId::empty(), "a");
    let old = wait_for_leader(&mut net);
    net.isolate(old);
    let unanswered = net.apply(old, base, "b");
    net.run_until("a new leader", |net| net.leader().is_some_and(|l| l != old));
    let newer = apply_and_wait(&mut net, base, "c");
    net.run_until("an answer", |net| net.answers.contains_key(&unanswered));
    assert_eq!(net.answers[&unanswered], ApplyAnswer::Unknown);
    let refused = net.apply(old, base, "d");
    let reason = RefuseReason::NotLeader { leader: None };
    assert_eq!(net.answers[&refused], ApplyAnswer::Refused(reason));
    net.heal();
    net.run_until("all voters have it", |net| net.all_at(newer));
}

#[test]
fn a_leader_that_receives_no_replies_steps_down() {
    let mut net = Net::new(3, 4);
    let old = wait_for_leader(&mut net);
    for other in net.ids() {
        net.cut(other, old);
    }
    net.run_until("another leader", |net| {
        net.leader().is_some_and(|l| l != old)
    });
}

/// Guards against a voter that lost its disk, and with it its votes and the
/// entries that it acknowledged, but still takes part in elections.
#[test]
fn a_voter_that_returns_with_a_new_disk_does_not_vote() {
    let mut net = Net::new(3, 8);
    let leader = wait_for_leader(&mut net);
    let lost = net.ids().into_iter().find(|id| *id != leader).unwrap();
    net.remove(lost);
    net.join(lost);
    net.run(Duration::from_secs(5));
    net.crash(leader);
    net.votes = 0;
    net.run(Duration::from_secs(10));
    assert_eq!((net.leader(), net.votes), (None, 0));
    net.restart(leader);
    net.run_until("one of the other two leads", |net| net.leader().is_some());
    assert_ne!(net.leader(), Some(lost));
}
