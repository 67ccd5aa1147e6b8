//! The journal on a disk with crashes, torn writes and bit errors.

mod common;

use std::sync::Arc;

use common::fake_disk::FakeDisk;
use currantgate_control::{
    Batch, Change, Command, DataDirectory, Digest, Disk, Entry, Evacuations, HardState, Journal,
    Members, RecoveredState, RevisionId, SiteState, Snapshot, StorageError,
};

fn entry(index: u64) -> Entry {
    let text: Arc<str> = format!("text {index}").into();
    Entry {
        term: 1,
        index,
        command: Command::Change(Arc::new(Change {
            revision: index,
            digest: Digest::of(&text),
            base: RevisionId::empty(),
            text,
        })),
    }
}

/// Returns a sequence of batches as a voter writes them: entries, truncations,
/// votes and snapshots.
fn batches() -> Vec<Batch> {
    let mut batches = Vec::new();
    for n in 0..12_u64 {
        let index = 2 + n;
        batches.push(Batch {
            entries: vec![entry(index)],
            ..Batch::default()
        });
        if n % 3 == 1 {
            let entries = vec![entry(index)];
            batches.push(Batch {
                truncate: Some(index),
                entries,
                ..Batch::default()
            });
        }
        if n % 4 == 3 {
            let hard_state = HardState {
                term: n,
                vote: Some(1),
                joined: true,
            };
            let snapshot = Snapshot {
                last_index: index,
                last_term: 1,
                members: Members::default(),
                state: SiteState::default(),
                evacuations: Evacuations::default(),
            };
            batches.push(Batch {
                snapshot: Some(snapshot),
                hard_state: Some(hard_state),
                ..Batch::default()
            });
        }
    }
    batches
}

/// Writes batches until the disk crashes. Returns the state before and after the
/// batch during which it crashed.
fn write_until_crash(disk: &FakeDisk) -> (RecoveredState, RecoveredState) {
    let opened = Journal::open(disk.clone());
    let (mut journal, mut state) = opened.unwrap();
    for batch in batches() {
        let before = state.clone();
        state.replay(batch.clone());
        if journal.write(&batch).is_err() {
            return (before, state);
        }
    }
    (state.clone(), state)
}

#[test]
fn a_crash_at_any_write_or_sync_keeps_confirmed_batches() {
    let members = Members::new([(1, common::net::address(1))]);
    let count = {
        let disk = FakeDisk::new(0);
        Journal::init(disk.clone(), members.clone()).unwrap();
        write_until_crash(&disk);
        disk.operations()
    };
    for seed in 0..20 {
        for crash_at in 0..count {
            let disk = FakeDisk::new(seed);
            Journal::init(disk.clone(), members.clone()).unwrap();
            let first_operation = disk.operations();
            disk.crash_at(first_operation + crash_at);
            let Ok(_) = Journal::open(disk.clone()) else {
                disk.restart();
                Journal::open(disk).unwrap();
                continue;
            };
            let disk = FakeDisk::new(seed);
            Journal::init(disk.clone(), members.clone()).unwrap();
            disk.crash_at(first_operation + 2 + crash_at);
            let (before, after) = write_until_crash(&disk);
            disk.restart();
            let (_, recovered) = Journal::open(disk).unwrap();
            assert!(
                recovered == before || recovered == after,
                "seed {seed}, operation {crash_at}: {recovered:?}"
            );
        }
    }
}

#[test]
fn a_crash_during_the_first_start_leaves_no_journal_or_a_complete_one() {
    let members = Members::new([(1, common::net::address(1))]);
    for seed in 0..50 {
        for crash_at in 0..4 {
            let disk = FakeDisk::new(seed);
            disk.crash_at(crash_at);
            Journal::init(disk.clone(), members.clone()).unwrap_err();
            disk.restart();
            match Journal::open(disk.clone()) {
                Ok((_, recovered)) => assert_eq!(recovered.snapshot.members, members),
                Err(StorageError::Missing { .. }) => {
                    Journal::init(disk, members.clone()).unwrap();
                }
                Err(e) => panic!("{e}"),
            }
        }
    }
}

#[test]
fn damage_before_the_last_frame_is_reported_with_its_offset() {
    let disk = FakeDisk::new(1);
    let (mut journal, _) = Journal::join(disk.clone()).unwrap();
    let start = journal.len_bytes();
    for index in 1..=3 {
        let batch = Batch {
            entries: vec![entry(index)],
            ..Batch::default()
        };
        journal.write(&batch).unwrap();
    }
    let frame_len = (journal.len_bytes() - start) / 3;
    for offset in start..start + 2 * frame_len {
        disk.flip_bit("journal", offset as usize);
        let frame_start = if offset < start + frame_len {
            start
        } else {
            start + frame_len
        };
        match Journal::open(disk.clone()) {
            Err(StorageError::Damaged { file, offset }) => {
                assert_eq!((&*file, offset), ("journal", frame_start));
            }
            other => panic!("byte {offset}: {other:?}"),
        }
        disk.flip_bit("journal", offset as usize);
    }
    Journal::open(disk).unwrap();
}

#[test]
fn a_data_directory_keeps_hundreds_of_batches_and_is_locked_by_one_process() {
    let directory = tempfile::tempdir().unwrap();
    let (mut journal, mut state) =
        Journal::join(DataDirectory::open(directory.path()).unwrap()).unwrap();
    for index in 1..=300 {
        let batch = Batch {
            entries: vec![entry(index)],
            ..Batch::default()
        };
        journal.write(&batch).unwrap();
        state.replay(batch);
    }
    DataDirectory::open(directory.path()).unwrap_err();
    drop(journal);
    let mut disk = DataDirectory::open(directory.path()).unwrap();
    disk.append("journal", &[0; 7]).unwrap();
    let (_, recovered) = Journal::open(disk).unwrap();
    assert_eq!(recovered, state);
}
