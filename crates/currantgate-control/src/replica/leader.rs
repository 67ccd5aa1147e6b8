//! The leader: heartbeats, replication of entries and transfer of snapshots.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Replica;
use super::role::{Leader, Role};
use crate::progress::{Progress, Transfer};
use crate::snapshot_format;
use crate::{
    AppendOutcome, Command, Entry, HEARTBEAT_INTERVAL, Index, MIN_ELECTION_TIMEOUT, Message, Term,
    VoterId,
};

/// The maximum size of the entries in one message in bytes; a single entry may
/// be larger.
const MAX_APPEND_BYTES: usize = 256 << 10;

impl Replica {
    pub(super) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    pub(super) fn become_leader(&mut self, now: Instant) {
        let first_index = self.log.last_index() + 1;
        self.role = Role::Leader(Box::new(Leader {
            progress: IndexMap::new(),
            first_index,
            next_heartbeat: now + HEARTBEAT_INTERVAL,
            quorum_deadline: now + MIN_ELECTION_TIMEOUT,
            queued: VecDeque::new(),
            pending: None,
            replacement: None,
            is_resigning: false,
            reads: Vec::new(),
        }));
        self.no_votes_until = now + MIN_ELECTION_TIMEOUT;
        self.append_command(Command::Noop);
        self.track_followers();
        self.send_to_all(now);
        self.advance_commit(now);
    }

    pub(super) fn append_command(&mut self, command: Command) -> Index {
        let index = self.log.last_index() + 1;
        self.append_entry(Entry {
            term: self.hard_state.term,
            index,
            command,
        });
        index
    }

    /// Adds and removes followers to match the other voters and the learner, if
    /// there is one.
    pub(super) fn track_followers(&mut self) {
        let last = self.log.last_index();
        let own = self.settings.id;
        let members = self.log.members().1;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let learner = leader.replacement.as_ref().map(|r| r.request.fresh);
        let wanted: Vec<_> = members
            .ids()
            .chain(learner)
            .filter(|id| *id != own)
            .collect();
        leader.progress.retain(|id, _| wanted.contains(id));
        for id in wanted {
            leader
                .progress
                .entry(id)
                .or_insert_with(|| Progress::new(last));
        }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if now < leader.next_heartbeat {
            return;
        }
        // Followers that still receive heartbeats, but whose replies are lost,
        // would never start an election.
        if now >= leader.quorum_deadline && !self.has_lease(now) {
            log::warn!("stepping down as leader: no quorum responds");
            self.become_follower(now, None);
            return;
        }
        self.rewind_unresponsive_followers(now);
        self.schedule_commit_write();
        self.send_to_all(now);
    }

    /// Starts the next heartbeat interval, and resends unacknowledged entries to
    /// followers that have not replied during the last one.
    fn rewind_unresponsive_followers(&mut self, now: Instant) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.next_heartbeat = now + HEARTBEAT_INTERVAL;
        for progress in leader.progress.values_mut() {
            let replied = std::mem::replace(&mut progress.replied, false);
            if !replied && !progress.probing {
                progress.next = progress.matched + 1;
            }
        }
    }

    pub(super) fn send_to_all(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let followers: Vec<_> = leader.progress.keys().copied().collect();
        for to in followers {
            self.send_next(now, to);
        }
    }

    /// Sends the next entries or the next chunk of a snapshot to a follower, or
    /// a heartbeat without entries.
    fn send_next(&mut self, now: Instant, to: VoterId) {
        let sent = now.duration_since(self.started);
        let term = self.hard_state.term;
        let learner = !self.log.members().1.contains(to);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        if progress.next <= self.log.snapshot().last_index && progress.transfer.is_none() {
            progress.transfer = Some(start_transfer(self.log.snapshot()));
        }
        let message = match &progress.transfer {
            Some(transfer) => next_chunk(
                transfer,
                self.settings.snapshot_chunk_bytes,
                term,
                sent,
                learner,
            ),
            None => {
                let prev_index = progress.next - 1;
                let Some(prev_term) = self.log.term(prev_index) else {
                    progress.next = progress.matched + 1;
                    return;
                };
                let entries = self.log.slice(progress.next, MAX_APPEND_BYTES);
                if !progress.probing {
                    progress.next += entries.len() as u64;
                }
                Message::Append {
                    term,
                    prev_index,
                    prev_term,
                    entries,
                    commit: self.commit,
                    sent,
                    learner,
                }
            }
        };
        self.send_after_hard_state(to, message);
    }

    pub(super) fn receive_append_reply(
        &mut self,
        now: Instant,
        from: VoterId,
        term: Term,
        sent: Duration,
        outcome: AppendOutcome,
    ) {
        self.observe_term(now, term);
        let started = self.started;
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if term != self.hard_state.term || outcome == AppendOutcome::StaleTerm {
            return;
        }
        // A correct follower never acknowledges what was not sent yet.
        let impossible = matches!(outcome, AppendOutcome::Matched(index) if index > last_index);
        if impossible || sent > now.duration_since(started) {
            return;
        }
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.replied = true;
        progress.acked_sent = progress.acked_sent.max(Some(started + sent));
        let more = update_progress(progress, outcome, last_index);
        if more {
            self.send_next(now, from);
        }
        self.extend_quorum_deadline(now);
        self.advance_commit(now);
        self.confirm_reads(now);
        self.advance_replacement(now);
        self.propose_queued(now);
    }

    fn extend_quorum_deadline(&mut self, now: Instant) {
        if !self.has_lease(now) {
            return;
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.quorum_deadline = now + MIN_ELECTION_TIMEOUT;
            self.no_votes_until = now + MIN_ELECTION_TIMEOUT;
        }
    }
}

/// Records the outcome of a message to a follower, and returns whether to send
/// the next message immediately.
fn update_progress(progress: &mut Progress, outcome: AppendOutcome, last_index: Index) -> bool {
    match outcome {
        AppendOutcome::Matched(index) => {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.probing = false;
            let done = |t: &Transfer| progress.matched >= t.last_index;
            if progress.transfer.as_ref().is_some_and(done) {
                progress.transfer = None;
                progress.next = progress.matched + 1;
            }
            progress.next <= last_index
        }
        AppendOutcome::Mismatch { prev_index, hint } => {
            // The reply is to an older message: the entry has matched since.
            if prev_index <= progress.matched {
                return false;
            }
            progress.next = hint.min(prev_index - 1).max(progress.matched) + 1;
            progress.probing = true;
            true
        }
        AppendOutcome::Chunk { last_index, offset } => {
            let Some(transfer) = &mut progress.transfer else {
                return false;
            };
            let advanced = transfer.last_index == last_index && transfer.offset != offset;
            if advanced {
                transfer.offset = offset;
            }
            advanced
        }
        AppendOutcome::StaleTerm => false,
    }
}

fn start_transfer(snapshot: &crate::Snapshot) -> Transfer {
    let bytes: Arc<[u8]> = snapshot_format::encode_snapshot(snapshot).into();
    Transfer {
        last_index: snapshot.last_index,
        digest: *blake3::hash(&bytes).as_bytes(),
        bytes,
        offset: 0,
    }
}

fn next_chunk(
    transfer: &Transfer,
    chunk_bytes: usize,
    term: Term,
    sent: Duration,
    learner: bool,
) -> Message {
    let start = (transfer.offset as usize).min(transfer.bytes.len());
    let end = (start + chunk_bytes).min(transfer.bytes.len());
    Message::Snapshot {
        term,
        last_index: transfer.last_index,
        offset: start as u64,
        total: transfer.bytes.len() as u64,
        digest: transfer.digest,
        data: transfer.bytes[start..end].to_vec(),
        sent,
        learner,
    }
}
