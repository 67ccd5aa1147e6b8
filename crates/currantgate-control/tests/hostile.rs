//! Arbitrary messages and arbitrary bytes on the disk never cause a panic.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fake_disk::FakeDisk;
use common::net::address;
use currantgate_control::{
    AppendOutcome, Change, Command, Digest, Disk, Entry, Journal, Members, Message, Output,
    Replica, ReplicaSettings, RevisionId,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

/// Small numbers, which are often valid, and numbers at the end of the range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..6_u64, Just(u64::MAX - 1), Just(u64::MAX), any::<u64>()]
}

fn any_command() -> impl Strategy<Value = Command> {
    let change = number().prop_map(|revision| {
        let text: Arc<str> = "x".into();
        Command::Change(Arc::new(Change {
            revision,
            digest: Digest::of(&text),
            base: RevisionId::empty(),
            text,
        }))
    });
    let members = prop::collection::vec(0..4_u64, 0..3).prop_map(|ids| {
        Command::Members(Members::new(ids.into_iter().map(|id| (id, address(id)))))
    });
    prop_oneof![Just(Command::Noop), change, members]
}

fn any_entry() -> impl Strategy<Value = Entry> {
    (number(), number(), any_command()).prop_map(|(term, index, command)| Entry {
        term,
        index,
        command,
    })
}

fn any_outcome() -> impl Strategy<Value = AppendOutcome> {
    prop_oneof![
        number().prop_map(AppendOutcome::Matched),
        (number(), number())
            .prop_map(|(prev_index, hint)| AppendOutcome::Mismatch { prev_index, hint }),
        (number(), number())
            .prop_map(|(last_index, offset)| AppendOutcome::Chunk { last_index, offset }),
        Just(AppendOutcome::StaleTerm),
    ]
}

fn any_message() -> impl Strategy<Value = Message> {
    let vote = (number(), number(), number(), any::<bool>());
    let votes = vote.prop_map(|(term, last_index, last_term, binding)| match binding {
        true => Message::Vote {
            term,
            last_index,
            last_term,
        },
        false => Message::PreVote {
            term,
            last_index,
            last_term,
        },
    });
    let replies =
        (number(), any::<bool>(), any::<bool>()).prop_map(
            |(term, granted, binding)| match binding {
                true => Message::VoteReply { term, granted },
                false => Message::PreVoteReply { term, granted },
            },
        );
    let sent = prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::MAX),
        Just(Duration::from_secs(9))
    ];
    let entries = prop::collection::vec(any_entry(), 0..4);
    let head = (number(), number(), number(), number());
    let append = (head, entries, sent.clone(), any::<bool>(), any::<bool>()).prop_map(
        |((term, prev_index, prev_term, commit), mut entries, sent, learner, well_formed)| {
            for (entry, i) in entries.iter_mut().zip(1..).filter(|_| well_formed) {
                entry.index = prev_index.wrapping_add(i);
                entry.term = term;
            }
            Message::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                sent,
                learner,
            }
        },
    );
    let outcome = (number(), sent.clone(), any_outcome()).prop_map(|(term, sent, outcome)| {
        Message::AppendReply {
            term,
            sent,
            outcome,
        }
    });
    let data = prop::collection::vec(any::<u8>(), 0..40);
    let snapshot = (
        number(),
        number(),
        number(),
        number(),
        data,
        sent,
        any::<bool>(),
    )
        .prop_map(
            |(term, last_index, offset, total, data, sent, learner)| Message::Snapshot {
                term,
                last_index,
                offset,
                total,
                digest: *blake3::hash(&data).as_bytes(),
                data,
                sent,
                learner,
            },
        );
    prop_oneof![1 => votes, 1 => replies, 3 => append, 3 => outcome, 1 => snapshot]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_replica_handles_any_message_without_a_panic(
        steps in prop::collection::vec((any_message(), 1..4_u64, 0..3_000_u64), 1..40),
    ) {
        let members = Members::new((1..=3).map(|id| (id, address(id))));
        let (_, recovered) = Journal::init(FakeDisk::new(1), members).unwrap();
        let settings = ReplicaSettings { id: 1, compact_after_entries: 3, ..ReplicaSettings::default() };
        let mut now = Instant::now();
        let mut replica = Replica::new(settings, recovered, now);
        for (message, from, ms) in steps {
            now += Duration::from_millis(ms);
            replica.tick(now);
            replica.receive(now, from, message);
            let _ = (replica.read(now), replica.status(now));
            while let Some(output) = replica.poll_output() {
                if let Output::Persist { id, .. } = output {
                    replica.persisted(now, id);
                }
            }
        }
    }

    #[test]
    fn opening_a_damaged_journal_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0..400_usize) {
        let mut disk = FakeDisk::new(1);
        disk.write("journal", &bytes).unwrap();
        let _ = Journal::open(disk);

        let disk = FakeDisk::new(1);
        let members = Members::new((1..=3).map(|id| (id, address(id))));
        Journal::init(disk.clone(), members).unwrap();
        disk.flip_bit("journal", at % disk.len("journal"));
        prop_assert!(Journal::open(disk).is_err());
    }
}
