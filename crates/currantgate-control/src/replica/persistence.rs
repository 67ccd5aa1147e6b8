//! The order of writes and messages: a message is sent only after the writes
//! that it depends on are synced.

use std::collections::VecDeque;

use super::Replica;
use crate::{Batch, BatchId, Entry, HardState, Index, Message, Output, Snapshot, VoterId};

/// Writes that are not synced yet, and the messages that depend on them.
#[derive(Debug)]
pub(super) struct PendingWrites {
    /// The changes since the last emitted batch.
    batch: Batch,
    /// Whether the next batch replaces the whole journal.
    replaces_journal: bool,
    /// The last batch that was emitted as an output.
    emitted_batch: BatchId,
    /// The last batch that is synced.
    synced_batch: BatchId,
    /// The last batch that changed the hard state.
    hard_state_batch: BatchId,
    /// The emitted batches that are not synced yet, each with the index of the
    /// last log entry after it.
    in_flight: VecDeque<(BatchId, Index)>,
    /// The index of the last log entry that is synced.
    synced_index: Index,
    /// The commit index in the last emitted batch that contained one.
    recorded_commit: Index,
    /// Whether to emit a batch for the commit index even without other changes.
    commit_write_due: bool,
    /// Messages, each with the batch that must be synced first.
    waiting_messages: VecDeque<(BatchId, VoterId, Message)>,
}

impl PendingWrites {
    pub(super) fn new(synced_index: Index, recorded_commit: Index) -> Self {
        Self {
            batch: Batch::default(),
            replaces_journal: false,
            emitted_batch: 0,
            synced_batch: 0,
            hard_state_batch: 0,
            in_flight: VecDeque::new(),
            synced_index,
            recorded_commit,
            commit_write_due: false,
            waiting_messages: VecDeque::new(),
        }
    }

    /// Returns the batch that contains all changes so far.
    fn current_batch(&self) -> BatchId {
        if self.is_empty() {
            self.emitted_batch
        } else {
            self.emitted_batch + 1
        }
    }

    fn is_empty(&self) -> bool {
        self.batch.is_empty() && !self.replaces_journal && !self.commit_write_due
    }

    fn truncate(&mut self, from: Index) {
        self.synced_index = self.synced_index.min(from - 1);
        for (_, last) in &mut self.in_flight {
            *last = (*last).min(from - 1);
        }
    }
}

impl Replica {
    /// Handles the confirmation that batch `id` and all earlier batches are
    /// synced.
    pub fn persisted(&mut self, now: std::time::Instant, id: BatchId) {
        self.writes.synced_batch = self.writes.synced_batch.max(id);
        while let Some((batch, last)) = self.writes.in_flight.front().copied() {
            if batch > id {
                break;
            }
            self.writes.synced_index = last;
            self.writes.in_flight.pop_front();
        }
        self.advance_commit(now);
    }

    /// Returns the index of the last synced entry of this replica's log.
    pub(super) fn synced_index(&self) -> Index {
        self.writes.synced_index
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state == hard_state {
            return;
        }
        self.hard_state = hard_state;
        self.writes.batch.hard_state = Some(hard_state);
        self.writes.hard_state_batch = self.writes.emitted_batch + 1;
    }

    pub(super) fn append_entry(&mut self, entry: Entry) {
        self.writes.batch.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(super) fn truncate_log(&mut self, from: Index) {
        self.log.truncate(from);
        self.writes.truncate(from);
        let batch = &mut self.writes.batch;
        batch.entries.retain(|entry| entry.index < from);
        batch.truncate = Some(batch.truncate.map_or(from, |earlier| earlier.min(from)));
    }

    /// Replaces the entries that `snapshot` covers, in memory and on disk.
    pub(super) fn install_in_log(&mut self, snapshot: Snapshot) {
        self.log.install(snapshot);
        self.writes.replaces_journal = true;
        let last = self.log.last_index();
        self.writes.synced_index = self.writes.synced_index.min(last);
        for (_, in_flight) in &mut self.writes.in_flight {
            *in_flight = (*in_flight).min(last);
        }
    }

    /// Sends a message once all changes so far are synced.
    pub(super) fn send_after_sync(&mut self, to: VoterId, message: Message) {
        let after = self.writes.current_batch();
        self.writes.waiting_messages.push_back((after, to, message));
    }

    /// Sends a message of the leader once the hard state is synced. It need not
    /// wait for entries: the leader counts itself towards a quorum only for
    /// entries that it has synced.
    pub(super) fn send_after_hard_state(&mut self, to: VoterId, message: Message) {
        let after = self.writes.hard_state_batch;
        self.writes.waiting_messages.push_back((after, to, message));
    }

    /// Schedules a write of the commit index unless it is already on disk. Called
    /// on heartbeats, between changes, when no request waits for the disk.
    pub(super) fn schedule_commit_write(&mut self) {
        self.writes.commit_write_due = self.commit > self.writes.recorded_commit;
    }

    pub(super) fn take_batch(&mut self) -> Option<Output> {
        if self.writes.is_empty() {
            return None;
        }
        self.writes.commit_write_due = false;
        let mut batch = std::mem::take(&mut self.writes.batch);
        if std::mem::take(&mut self.writes.replaces_journal) {
            batch = Batch {
                snapshot: Some(self.log.snapshot().clone()),
                hard_state: Some(self.hard_state),
                truncate: None,
                entries: self.log.entries().to_vec(),
                commit: None,
            };
        }
        if self.commit > self.writes.recorded_commit {
            self.writes.recorded_commit = self.commit;
            batch.commit = Some(self.commit);
        }
        self.writes.emitted_batch += 1;
        let id = self.writes.emitted_batch;
        let last = self.log.last_index();
        self.writes.in_flight.push_back((id, last));
        Some(Output::Persist { id, batch })
    }

    pub(super) fn take_sendable_message(&mut self) -> Option<Output> {
        let synced_batch = self.writes.synced_batch;
        let waiting_messages = &mut self.writes.waiting_messages;
        let sendable = waiting_messages
            .iter()
            .position(|(after, ..)| *after <= synced_batch)?;
        let (_, to, message) = waiting_messages.remove(sendable)?;
        Some(Output::Send { to, message })
    }
}
