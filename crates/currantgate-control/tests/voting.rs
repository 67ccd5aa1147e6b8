//! Votes and commitment of a single replica.

mod common;

use std::time::{Duration, Instant};

use common::net::{Net, address};
use currantgate_control::{
    AppendOutcome, Command, Entry, HardState, Members, Message, Output, RecoveredState, Replica,
    ReplicaSettings, Snapshot,
};

fn drain(replica: &mut Replica, now: Instant) {
    while let Some(output) = replica.poll_output() {
        if let Output::Persist { id, .. } = output {
            replica.persisted(now, id);
        }
    }
}

#[test]
fn a_replica_grants_one_vote_per_term_across_restarts() {
    let mut net = Net::new(3, 6);
    net.crash(2);
    net.crash(3);
    net.run(Duration::from_millis(1_050));
    let vote = Message::Vote {
        term: 9,
        last_index: 1,
        last_term: 0,
    };
    net.inject(2, 1, vote.clone());
    assert_eq!(net.votes, 1);
    net.inject(3, 1, vote.clone());
    assert_eq!(
        net.votes, 1,
        "no vote for a second candidate in the same term"
    );
    net.crash(1);
    net.restart(1);
    net.run(Duration::from_millis(1_050));
    net.inject(3, 1, vote.clone());
    assert_eq!(net.votes, 1, "no vote for it after a restart either");
    net.inject(2, 1, vote);
    assert_eq!(net.votes, 2, "the first candidate gets the same vote again");
}

/// Guards against the commit of an entry of an earlier term because a majority
/// has it. A later leader may still replace it, so it is committed only together
/// with an entry of the leader's own term.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let members = Members::new((1..=5).map(|id| (id, address(id))));
    let recovered = RecoveredState {
        commit: 0,
        hard_state: HardState {
            term: 2,
            vote: None,
            joined: true,
        },
        snapshot: Snapshot::initial(members),
        entries: vec![Entry {
            term: 2,
            index: 2,
            command: Command::Noop,
        }],
    };
    let settings = ReplicaSettings {
        id: 1,
        ..ReplicaSettings::default()
    };
    let start = Instant::now();
    let mut replica = Replica::new(settings, recovered, start);
    let now = start + Duration::from_secs(3);
    replica.tick(now);
    for from in [2, 3] {
        replica.receive(
            now,
            from,
            Message::PreVoteReply {
                term: 3,
                granted: true,
            },
        );
    }
    for from in [2, 3] {
        replica.receive(
            now,
            from,
            Message::VoteReply {
                term: 3,
                granted: true,
            },
        );
    }
    drain(&mut replica, now);
    let mut acknowledge = |index| {
        for from in [2, 3] {
            let sent = now - start;
            let outcome = AppendOutcome::Matched(index);
            replica.receive(
                now,
                from,
                Message::AppendReply {
                    term: 3,
                    sent,
                    outcome,
                },
            );
        }
        drain(&mut replica, now);
        replica.status(now).commit
    };
    assert_eq!(acknowledge(2), 1);
    assert_eq!(acknowledge(3), 3);
}
