//! The follower: entries and snapshots from the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Replica;
use super::role::Role;
use crate::snapshot_format;
use crate::{
    AppendOutcome, Entry, HardState, Index, MIN_ELECTION_TIMEOUT, Message, Snapshot, Term, VoterId,
};

/// The maximum size of a snapshot in bytes, far above that of its site file.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    last_index: Index,
    digest: [u8; 32],
    bytes: Vec<u8>,
}

impl Replica {
    pub(super) fn receive_from_leader(&mut self, now: Instant, from: VoterId, message: Message) {
        let term = message.term();
        let (sent, learner) = match &message {
            Message::Append { sent, learner, .. } | Message::Snapshot { sent, learner, .. } => {
                (*sent, *learner)
            }
            _ => return,
        };
        if term < self.hard_state.term {
            self.reply(from, Duration::ZERO, AppendOutcome::StaleTerm);
            return;
        }
        if !self.hard_state.joined && !learner {
            // The leader counts this id as a voter, but its disk is new and lacks
            // the votes and entries that it confirmed before.
            return;
        }
        self.observe_term(now, term);
        self.become_follower(now, Some(from));
        self.no_votes_until = now + MIN_ELECTION_TIMEOUT;
        self.reset_election_deadline(now);
        let outcome = match message {
            Message::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                ..
            } => {
                self.leader_commit = self.leader_commit.max(Some(commit));
                Some(self.append_entries(now, (prev_term, prev_index), entries, commit))
            }
            Message::Snapshot {
                last_index,
                offset,
                total,
                digest,
                data,
                ..
            } => self.receive_chunk(last_index, offset, total, digest, &data),
            _ => None,
        };
        if let Some(outcome) = outcome {
            self.reply(from, sent, outcome);
        }
    }

    fn reply(&mut self, to: VoterId, sent: Duration, outcome: AppendOutcome) {
        let term = self.hard_state.term;
        let message = Message::AppendReply {
            term,
            sent,
            outcome,
        };
        self.send_after_sync(to, message);
    }

    fn append_entries(
        &mut self,
        now: Instant,
        (prev_term, prev_index): (Term, Index),
        entries: Vec<Entry>,
        commit: Index,
    ) -> AppendOutcome {
        let last = prev_index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        if prev_index < self.log.snapshot().last_index {
            // Entries up to the snapshot are committed, so the leader's log
            // contains them too.
            let covered = self.log.snapshot().last_index;
            let rest = entries.into_iter().filter(|e| e.index > covered).collect();
            self.store_entries(rest);
        } else if self.log.term(prev_index) == Some(prev_term) {
            self.store_entries(entries);
        } else {
            let before = prev_index.saturating_sub(1);
            let hint = self.log.last_index().min(before).max(self.commit);
            return AppendOutcome::Mismatch { prev_index, hint };
        }
        let matched = last.max(self.log.snapshot().last_index);
        self.commit_to(now, commit.min(matched));
        if is_heartbeat {
            self.schedule_commit_write();
        }
        AppendOutcome::Matched(matched)
    }

    fn store_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => {}
                Some(term) if entry.index <= self.commit => {
                    let index = entry.index;
                    log::error!(
                        "ignoring a conflict with entry {index} of term {term}, which is committed"
                    );
                    return;
                }
                Some(_) => {
                    self.truncate_log(entry.index);
                    self.append_entry(entry);
                }
                None => self.append_entry(entry),
            }
        }
    }

    fn receive_chunk(
        &mut self,
        last_index: Index,
        offset: u64,
        total: u64,
        digest: [u8; 32],
        data: &[u8],
    ) -> Option<AppendOutcome> {
        if total > MAX_SNAPSHOT_BYTES {
            log::warn!("ignoring a snapshot of {total} bytes: it exceeds the limit");
            return None;
        }
        if last_index <= self.commit {
            self.incoming = None;
            return Some(AppendOutcome::Matched(self.commit));
        }
        let is_same = |i: &&mut IncomingSnapshot| i.last_index == last_index && i.digest == digest;
        let incoming = match self.incoming.as_mut().filter(is_same) {
            Some(incoming) => incoming,
            None => self.incoming.insert(IncomingSnapshot {
                last_index,
                digest,
                bytes: Vec::new(),
            }),
        };
        if incoming.bytes.len() as u64 == offset {
            incoming.bytes.extend_from_slice(data);
        }
        let received = incoming.bytes.len() as u64;
        if received < total {
            let offset = received;
            return Some(AppendOutcome::Chunk { last_index, offset });
        }
        let incoming = self.incoming.take()?;
        self.install_snapshot(&incoming)
            .then_some(AppendOutcome::Matched(last_index))
    }

    /// Installs a received snapshot, and returns whether it is valid. The leader
    /// sends an invalid one again.
    fn install_snapshot(&mut self, incoming: &IncomingSnapshot) -> bool {
        if *blake3::hash(&incoming.bytes).as_bytes() != incoming.digest {
            log::warn!("discarding a snapshot with a wrong digest; the leader will send it again");
            return false;
        }
        let decoded = snapshot_format::decode_snapshot(&incoming.bytes);
        let index_matches = |s: &Snapshot| s.last_index == incoming.last_index;
        let Some(snapshot) = decoded.ok().filter(index_matches) else {
            log::warn!(
                "discarding a snapshot that can't be decoded; the leader will send it again"
            );
            return false;
        };
        self.commit = snapshot.last_index;
        self.state = snapshot.state.clone();
        self.evacuations = Arc::new(snapshot.evacuations.clone());
        self.install_in_log(snapshot);
        if !self.hard_state.joined {
            self.set_hard_state(HardState {
                joined: true,
                ..self.hard_state
            });
        }
        self.output_current();
        true
    }

    /// Returns the leader's id, if it is known to this replica.
    pub fn leader_id(&self) -> Option<VoterId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.id()),
            _ => None,
        }
    }
}
