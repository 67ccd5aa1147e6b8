//! The data that a restart reads and that a change writes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate_control::{
    ApplyAnswer, ApplyRequest, Digest, Journal, Members, Output, Replica, ReplicaSettings,
    RevisionId,
};

use crate::memory_disk::MemoryDisk;
use crate::table::Table;

/// The number of changes in a day.
const CHANGES: u64 = 20_000;

/// The size of the site file in bytes.
const TEXT_BYTES: usize = 1_000;

struct Voter {
    replica: Replica,
    journal: Journal<MemoryDisk>,
    accepted: u64,
}

impl Voter {
    fn drain(&mut self, now: Instant) {
        while let Some(output) = self.replica.poll_output() {
            match output {
                Output::Persist { id, batch } => {
                    self.journal.write(&batch).expect("memory does not fail");
                    self.replica.persisted(now, id);
                }
                Output::Applied { answer, .. } => {
                    assert!(matches!(answer, ApplyAnswer::Accepted(_)));
                    self.accepted += 1;
                }
                _ => {}
            }
        }
    }
}

/// Applies the changes of a day to one voter, restarts it and reports the results.
pub(crate) fn report(table: &mut Table) {
    let settings = ReplicaSettings {
        id: 1,
        ..ReplicaSettings::default()
    };
    let interval = settings.compact_after_entries;
    let address: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let disk = MemoryDisk::default();
    let (journal, recovered) =
        Journal::init(disk.clone(), Members::new([(1, address)])).expect("the disk is empty");
    let mut now = Instant::now();
    let mut voter = Voter {
        replica: Replica::new(settings, recovered, now),
        journal,
        accepted: 0,
    };
    now += Duration::from_secs(5);
    voter.replica.tick(now);
    voter.drain(now);

    let mut base = RevisionId::empty();
    for n in 0..CHANGES {
        let text = format!("{n:0TEXT_BYTES$}");
        let request = ApplyRequest {
            base,
            text: text.as_str().into(),
        };
        base = RevisionId {
            revision: n + 1,
            digest: Digest::of(&text),
        };
        voter.replica.apply(now, n, request);
        voter.drain(now);
    }
    assert_eq!(voter.accepted, CHANGES);
    let (written, appended) = disk.bytes();
    let length = voter.journal.len_bytes();
    drop(voter);
    let (_, recovered) = Journal::open(disk).expect("the journal is intact");
    let newest = recovered.entries.len() as u64;
    assert!(recovered.snapshot.last_index + newest > CHANGES);
    table.at_most(
        "records read after 20000 changes",
        (recovered.entries.len() + 1) as f64,
        (interval + 1) as f64,
    );
    table.show(
        "journal after 20000 changes of 1000 bytes (bytes)",
        length as f64,
    );
    table.show(
        "log bytes a change of 1000 bytes",
        appended as f64 / CHANGES as f64,
    );
    table.show(
        "log and snapshot bytes a change of 1000 bytes",
        written as f64 / CHANGES as f64,
    );
}
