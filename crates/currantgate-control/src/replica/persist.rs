//! The order of writes and messages: nothing that depends on a write is sent
//! before the write is synced.

use std::collections::VecDeque;

use super::Replica;
use crate::{Batch, BatchId, Entry, HardState, Index, Message, Output, Snapshot, VoterId};

/// Writes that are not synced yet, and the messages that wait for them.
#[derive(Debug)]
pub(super) struct Persist {
    /// What the current input has changed so far.
    batch: Batch,
    /// Whether the batch replaces the whole file.
    rewrite: bool,
    /// The last batch that was given out.
    emitted: BatchId,
    /// The last batch that is synced.
    synced: BatchId,
    /// The last batch that changed the hard state.
    hard_state_batch: BatchId,
    /// Batches on their way to the disk, with the last entry each leaves.
    in_flight: VecDeque<(BatchId, Index)>,
    /// The last entry that is synced.
    durable: Index,
    /// The last committed entry that the disk was told of.
    recorded_commit: Index,
    /// Whether the disk is to be told of the commit index alone.
    commit_due: bool,
    held: VecDeque<(BatchId, VoterId, Message)>,
}

impl Persist {
    pub(super) fn new(durable: Index, recorded_commit: Index) -> Self {
        Self {
            batch: Batch::default(),
            rewrite: false,
            emitted: 0,
            synced: 0,
            hard_state_batch: 0,
            in_flight: VecDeque::new(),
            durable,
            recorded_commit,
            commit_due: false,
            held: VecDeque::new(),
        }
    }

    /// Returns the batch that holds everything changed so far.
    fn current(&self) -> BatchId {
        if self.is_idle() {
            self.emitted
        } else {
            self.emitted + 1
        }
    }

    fn is_idle(&self) -> bool {
        self.batch.is_empty() && !self.rewrite && !self.commit_due
    }

    fn forget_from(&mut self, from: Index) {
        self.durable = self.durable.min(from - 1);
        for (_, last) in &mut self.in_flight {
            *last = (*last).min(from - 1);
        }
    }
}

impl Replica {
    /// Takes the confirmation that batch `id` and all before it are synced.
    pub fn persisted(&mut self, now: std::time::Instant, id: BatchId) {
        self.persist.synced = self.persist.synced.max(id);
        while let Some((batch, last)) = self.persist.in_flight.front().copied() {
            if batch > id {
                break;
            }
            self.persist.durable = last;
            self.persist.in_flight.pop_front();
        }
        self.advance_commit(now);
    }

    /// Returns the last entry of this replica's log that is synced.
    pub(super) fn durable_index(&self) -> Index {
        self.persist.durable
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state == hard_state {
            return;
        }
        self.hard_state = hard_state;
        self.persist.batch.hard_state = Some(hard_state);
        self.persist.hard_state_batch = self.persist.emitted + 1;
    }

    pub(super) fn append_entry(&mut self, entry: Entry) {
        self.persist.batch.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(super) fn truncate_log(&mut self, from: Index) {
        self.log.truncate(from);
        self.persist.forget_from(from);
        let batch = &mut self.persist.batch;
        batch.entries.retain(|entry| entry.index < from);
        batch.truncate = Some(batch.truncate.map_or(from, |earlier| earlier.min(from)));
    }

    /// Replaces what `snapshot` covers, in memory and on disk.
    pub(super) fn install_in_log(&mut self, snapshot: Snapshot) {
        self.log.install(snapshot);
        self.persist.rewrite = true;
        let last = self.log.last_index();
        self.persist.durable = self.persist.durable.min(last);
        for (_, in_flight) in &mut self.persist.in_flight {
            *in_flight = (*in_flight).min(last);
        }
    }

    /// Sends a message once everything changed so far is synced.
    pub(super) fn send_synced(&mut self, to: VoterId, message: Message) {
        let after = self.persist.current();
        self.persist.held.push_back((after, to, message));
    }

    /// Sends a message of a leader, which depends on the hard state alone:
    /// the leader does not count itself before its own entries are synced.
    pub(super) fn send_as_leader(&mut self, to: VoterId, message: Message) {
        let after = self.persist.hard_state_batch;
        self.persist.held.push_back((after, to, message));
    }

    /// Writes the commit index, unless the disk has it: between changes, where
    /// no one waits for the disk.
    pub(super) fn record_commit(&mut self) {
        self.persist.commit_due = self.commit > self.persist.recorded_commit;
    }

    pub(super) fn take_batch(&mut self) -> Option<Output> {
        if self.persist.is_idle() {
            return None;
        }
        self.persist.commit_due = false;
        let mut batch = std::mem::take(&mut self.persist.batch);
        if std::mem::take(&mut self.persist.rewrite) {
            batch = Batch {
                snapshot: Some(self.log.snapshot().clone()),
                hard_state: Some(self.hard_state),
                truncate: None,
                entries: self.log.entries().to_vec(),
                commit: None,
            };
        }
        if self.commit > self.persist.recorded_commit {
            self.persist.recorded_commit = self.commit;
            batch.commit = Some(self.commit);
        }
        self.persist.emitted += 1;
        let id = self.persist.emitted;
        let last = self.log.last_index();
        self.persist.in_flight.push_back((id, last));
        Some(Output::Persist { id, batch })
    }

    pub(super) fn take_released_message(&mut self) -> Option<Output> {
        let synced = self.persist.synced;
        let held = &mut self.persist.held;
        let released = held.iter().position(|(after, ..)| *after <= synced)?;
        let (_, to, message) = held.remove(released)?;
        Some(Output::Send { to, message })
    }
}
