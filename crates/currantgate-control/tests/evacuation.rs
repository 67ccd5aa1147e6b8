//! Orders to evacuate failure domains, on a network without random faults.
//! `schedules.rs` sends them under random ones.

mod common;

use std::time::{Duration, Instant};

use common::fake_disk::FakeDisk;
use common::net::Net;
use currantgate_control::EvacuationAction::{Finish, Start};
use currantgate_control::{
    Command, Disk, Entry, EvacuationAnswer, EvacuationOrder, Evacuations, Index, Journal, Members,
    Message, OrderLimit, RecoveredState, RefuseReason, Replica, ReplicaSettings, RequestId,
    RevisionId, Snapshot, VoterId,
};
use rstest::rstest;

fn wait_for_leader(net: &mut Net) -> VoterId {
    net.run_until("a leader", |net| net.leader().is_some());
    net.leader().unwrap()
}

/// Waits for the acceptance of an order and returns its revision.
fn wait_for_acceptance(net: &mut Net, id: RequestId) -> Index {
    net.run_until("an answer", |net| net.order_answers.contains_key(&id));
    match net.order_answers[&id] {
        EvacuationAnswer::Accepted(revision) => revision,
        other => panic!("{other:?}"),
    }
}

fn names(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.iter().map(|(domain, _)| domain).collect()
}

/// Guards against an order that is lost or reordered in transit to a voter, and
/// against a resent start that moves the time since which a domain is evacuated.
#[test]
fn orders_reach_every_voter_in_log_order_and_may_be_resent() {
    let mut net = Net::new(3, 1);
    let leader = wait_for_leader(&mut net);
    let orders = [("a", Start), ("b", Start), ("a", Start), ("b", Finish)];
    let ids = orders.map(|(domain, action)| net.order(leader, domain, action));
    let revisions = ids.map(|id| wait_for_acceptance(&mut net, id));
    assert!(revisions.is_sorted_by(|a, b| a < b), "{revisions:?}");
    net.run_until("all voters have them", Net::all_evacuations_current);
    let evacuations = net.replica(leader).unwrap().evacuations();
    let evacuated: Vec<_> = evacuations.iter().collect();
    assert_eq!(evacuated, [("a", revisions[0])]);
    assert_eq!(evacuations.revision(), revisions[3]);
}

/// Guards against an acknowledged order that the next leader does not have.
#[test]
fn an_order_survives_the_death_of_the_leader_right_after_the_acknowledgement() {
    for seed in 0..20 {
        let mut net = Net::new(3, seed);
        let leader = wait_for_leader(&mut net);
        let id = net.order(leader, "a", Start);
        let revision = wait_for_acceptance(&mut net, id);
        net.crash(leader);
        net.run_until("a new leader", |net| {
            net.leader().is_some_and(|l| l != leader)
        });
        let leader = net.leader().unwrap();
        net.run_until("it has committed", |net| net.is_caught_up(leader));
        let evacuations = net.replica(leader).unwrap().evacuations();
        assert_eq!(
            (names(evacuations), evacuations.revision()),
            (vec!["a"], revision)
        );
    }
}

/// Guards against a VM that is considered caught up after a loss of power although it
/// doesn't know yet that an order in its log was acknowledged.
#[test]
fn after_a_loss_of_power_no_vm_is_caught_up_without_the_acknowledged_order() {
    for seed in 0..20 {
        let mut net = Net::new(3, seed);
        let leader = wait_for_leader(&mut net);
        let id = net.order(leader, "a", Start);
        wait_for_acceptance(&mut net, id);
        for id in net.ids() {
            net.crash(id);
        }
        for id in net.ids() {
            net.restart(id);
            assert!(!net.is_caught_up(id));
        }
        // The network checks each VM that is caught up at every step.
        net.run_until("all are caught up", |net| {
            net.ids().into_iter().all(|id| net.is_caught_up(id))
        });
        assert!(net.all_evacuations_current());
    }
}

/// Guards against a follower that counts as caught up when it returns while the leader keeps
/// its term, although the leader has acknowledged orders meanwhile.
#[test]
fn a_follower_that_returns_in_the_same_term_is_not_caught_up_without_later_orders() {
    for seed in 0..20 {
        let mut net = Net::new(3, seed);
        let leader = wait_for_leader(&mut net);
        let id = net.order(leader, "a", Start);
        wait_for_acceptance(&mut net, id);
        net.run_until("all voters have it", Net::all_evacuations_current);
        net.run(Duration::from_millis(500));
        let follower = net.ids().into_iter().find(|id| *id != leader).unwrap();
        net.crash(follower);
        let id = net.order(leader, "b", Start);
        let revision = wait_for_acceptance(&mut net, id);
        // Messages that were sent before the order are lost with the connection.
        net.run(Duration::from_millis(50));
        net.restart(follower);
        assert!(!net.is_caught_up(follower));
        net.run_until("the follower is caught up", |net| {
            net.is_caught_up(follower)
        });
        assert_eq!(net.leader(), Some(leader));
        let held = net.replica(follower).unwrap().evacuations();
        assert_eq!(held.revision(), revision);
    }
}

/// Guards against an isolated leader that acknowledges an order, and against its order
/// winning over a later one of the other side.
#[test]
fn an_isolated_leader_does_not_acknowledge_an_order() {
    let mut net = Net::new(5, 3);
    let old = wait_for_leader(&mut net);
    net.run(Duration::from_millis(500));
    net.isolate(old);
    let unanswered = net.order(old, "a", Start);
    net.run_until("a new leader", |net| net.leader().is_some_and(|l| l != old));
    let new = net.leader().unwrap();
    let finish = net.order(new, "a", Finish);
    wait_for_acceptance(&mut net, finish);
    net.run_until("an answer", |net| {
        net.order_answers.contains_key(&unanswered)
    });
    assert_eq!(net.order_answers[&unanswered], EvacuationAnswer::Unknown);
    let refused = net.order(old, "b", Start);
    let reason = RefuseReason::NotLeader { leader: None };
    assert_eq!(
        net.order_answers[&refused],
        EvacuationAnswer::Refused(reason)
    );
    net.heal();
    net.run_until("all voters have the finish", Net::all_evacuations_current);
    net.run(Duration::from_secs(3));
    assert_eq!(names(&net.checks.newest_evacuations()), [""; 0]);
}

/// Guards against an order of a sender that has given up while a change of the site
/// file was being replicated: it could undo a newer order.
#[test]
fn a_queued_order_of_a_sender_that_has_given_up_is_not_executed() {
    let mut net = Net::new(3, 4);
    let leader = wait_for_leader(&mut net);
    net.run(Duration::from_millis(500));
    net.apply(leader, RevisionId::empty(), "file");
    let given_up = net.order(leader, "a", Start);
    let kept = net.order(leader, "b", Start);
    assert!(net.cancel_order(leader, given_up));
    wait_for_acceptance(&mut net, kept);
    assert!(!net.cancel_order(leader, kept), "it is in the log");
    assert_eq!(names(&net.checks.newest_evacuations()), ["b"]);
    assert!(!net.order_answers.contains_key(&given_up));
}

/// Guards against evacuations that are missing in snapshots on disk and on the wire.
#[test]
fn a_new_voter_and_restarted_ones_get_orders_before_a_snapshot() {
    let mut net = Net::new(3, 5);
    let leader = wait_for_leader(&mut net);
    // The log is compacted after 8 entries.
    let orders: Vec<_> = (0..20)
        .map(|n| (["a", "b"][n % 2], [Start, Finish][n % 3 % 2]))
        .collect();
    for (domain, action) in orders {
        let id = net.order(leader, domain, action);
        wait_for_acceptance(&mut net, id);
    }
    let lost = net.ids().into_iter().find(|id| *id != leader).unwrap();
    net.remove(lost);
    net.join(9);
    let id = net.replace(leader, lost, 9);
    net.run_until("the voter is replaced", |net| {
        net.replaced.contains_key(&id)
    });
    net.run_until("the new voter has them", Net::all_evacuations_current);
    for id in net.ids() {
        net.crash(id);
        net.restart(id);
        assert!(
            net.replica(id).unwrap().evacuations().has_orders(),
            "voter {id}"
        );
    }
    net.run_until("all voters have them", Net::all_evacuations_current);
}

/// Guards against made-up names that fill the state of all VMs, and against limits that keep
/// a domain evacuated.
#[test]
fn starts_beyond_the_limits_are_refused_and_finishes_are_not() {
    let mut net = Net::new(1, 8);
    let leader = wait_for_leader(&mut net);
    let check = |net: &Net, domain: &str, action| {
        let domain = domain.into();
        let order = EvacuationOrder { domain, action };
        net.replica(leader)
            .unwrap()
            .evacuations()
            .check_limits(&order)
    };
    let longest = "a".repeat(253);
    assert_eq!(check(&net, &longest, Start), Ok(()));
    let too_long = check(&net, &"a".repeat(254), Start);
    assert_eq!(too_long, Err(OrderLimit::DomainBytes));
    for n in 0..1_024 {
        assert_eq!(check(&net, &n.to_string(), Start), Ok(()));
        let id = net.order(leader, &n.to_string(), Start);
        wait_for_acceptance(&mut net, id);
    }
    let excess = check(&net, "b", Start);
    assert_eq!(excess, Err(OrderLimit::EvacuatedDomains));
    assert_eq!(check(&net, "b", Finish), Ok(()));
    assert_eq!(check(&net, "7", Start), Ok(()), "it is resent");
}

/// The journal of a voter, the same after its compaction, and the transferred
/// snapshot, as written by the build before evacuations.
const EARLIER_JOURNAL: &[u8] = include_bytes!("fixtures/journal-before-evacuations");
const EARLIER_COMPACTED: &[u8] = include_bytes!("fixtures/compacted-journal-before-evacuations");
const EARLIER_SNAPSHOT: &[u8] = include_bytes!("fixtures/snapshot-before-evacuations");

/// Guards against a build that can't start from the journal of the build before, or
/// writes one that the build before can't read although there was no order.
#[test]
fn journals_of_earlier_builds_are_read_and_written_byte_for_byte() {
    for bytes in [EARLIER_JOURNAL, EARLIER_COMPACTED] {
        let mut disk = FakeDisk::new(1);
        disk.write("journal", bytes).unwrap();
        let (_, recovered) = Journal::open(disk).unwrap();
        assert_eq!(
            recovered.snapshot.members.ids().collect::<Vec<_>>(),
            [1, 2, 3]
        );
        assert!(!recovered.snapshot.evacuations.has_orders());
        let text = recovered
            .snapshot
            .state
            .current()
            .map(|change| &*change.text);
        assert_eq!(text.is_some(), bytes == EARLIER_COMPACTED);
    }
    let mut disk = FakeDisk::new(1);
    disk.write("journal", EARLIER_COMPACTED).unwrap();
    let (_, recovered) = Journal::open(disk).unwrap();
    let batch = currantgate_control::Batch {
        snapshot: Some(recovered.snapshot),
        hard_state: Some(recovered.hard_state),
        ..Default::default()
    };
    let mut written = FakeDisk::new(2);
    let (mut journal, _) = Journal::join(written.clone()).unwrap();
    journal.write(&batch).unwrap();
    assert_eq!(written.read("journal").unwrap().unwrap(), EARLIER_COMPACTED);
}

/// Guards against a leader of the earlier build whose snapshots a voter of this build
/// discards, and the other way around.
#[test]
fn snapshots_of_earlier_builds_are_installed() {
    let mut net = Net::new(1, 6);
    net.join(9);
    let message = Message::Snapshot {
        term: 1,
        last_index: 3,
        offset: 0,
        total: EARLIER_SNAPSHOT.len() as u64,
        digest: *blake3::hash(EARLIER_SNAPSHOT).as_bytes(),
        data: EARLIER_SNAPSHOT.to_vec(),
        sent: Duration::ZERO,
        learner: true,
    };
    net.inject(1, 9, message);
    assert_eq!(net.accepted(9).unwrap().revision, 1);
}

/// Guards against a control VM that, after a loss of power, lets entries place flows in a
/// domain whose evacuation may have been acknowledged, and against one that withholds
/// upstreams for orders that it knows to be committed.
#[rstest]
#[case::not_known_to_be_committed(0, true)]
#[case::committed(2, false)]
fn orders_count_as_uncommitted_until_their_commit_is_known(
    #[case] commit: u64,
    #[case] expected: bool,
) {
    let order = EvacuationOrder {
        domain: "a".into(),
        action: Start,
    };
    let recovered = RecoveredState {
        snapshot: Snapshot::initial(Members::new([(1, "127.0.0.1:1".parse().unwrap())])),
        entries: vec![Entry {
            term: 1,
            index: 2,
            command: Command::Evacuation(order),
        }],
        commit,
        ..RecoveredState::default()
    };
    let replica = Replica::new(ReplicaSettings::default(), recovered, Instant::now());
    assert_eq!(replica.has_uncommitted_orders(), expected);
}
