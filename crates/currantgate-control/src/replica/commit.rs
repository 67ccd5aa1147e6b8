//! Commitment of entries that a quorum has synced, and their application.

use std::sync::Arc;
use std::time::Instant;

use super::Replica;
use super::role::{ProposalKind, Role};
use crate::{ApplyAnswer, Change, Command, EvacuationAnswer, Evacuations, Index, Output, Snapshot};

impl Replica {
    /// Commits the entries that a quorum has synced, if this replica leads.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own = self.id();
        let synced = self.synced_index();
        let on_quorum = self.log.members().1.reached_by_quorum(|id| {
            if id == own {
                return synced;
            }
            leader.progress.get(&id).map_or(0, |p| p.matched)
        });
        let index = on_quorum.unwrap_or(0);
        // An entry of an earlier term is committed only together with one of the
        // current term: until then a later leader could overwrite it.
        let of_current_term = self.log.term(index) == Some(self.hard_state.term);
        if index > self.commit && of_current_term {
            self.commit_to(now, index);
            // Followers get the commit index now instead of with the next
            // heartbeat.
            self.send_to_all(now);
        }
    }

    /// Commits and applies all entries up to `index`.
    pub(super) fn commit_to(&mut self, now: Instant, index: Index) {
        while self.commit < index.min(self.log.last_index()) {
            self.commit += 1;
            let command = self.log.get(self.commit).map(|e| e.command.clone());
            match command {
                Some(Command::Change(change)) => self.accept(change),
                Some(Command::Evacuation(order)) => self.execute_order(&order),
                Some(Command::Noop | Command::Members(_)) | None => {}
            }
            self.answer_pending();
        }
        self.compact();
        self.advance_replacement(now);
        self.propose_queued(now);
    }

    fn accept(&mut self, change: Arc<Change>) {
        self.state.accept(Arc::clone(&change));
        self.outputs.push_back(Output::Committed(change));
    }

    /// Outputs the change and the evacuations in force after a snapshot has replaced the state.
    pub(super) fn output_current(&mut self) {
        if let Some(change) = self.state.current() {
            let change = Arc::clone(change);
            self.outputs.push_back(Output::Committed(change));
        }
        if self.evacuations.has_orders() {
            self.output_evacuations();
        }
    }

    fn answer_pending(&mut self) {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(pending) = leader.pending.take_if(|p| p.index == commit) else {
            return;
        };
        let request = pending.request;
        match pending.kind {
            ProposalKind::Change => {
                let revision = self.state.current_id().revision;
                self.answer_apply(request, ApplyAnswer::Accepted(revision));
            }
            ProposalKind::Evacuation => {
                let revision = self.evacuations.revision();
                self.answer_order(request, EvacuationAnswer::Accepted(revision));
            }
        }
    }

    /// Replaces the committed entries by a snapshot once their number or size
    /// reaches the limit of the settings.
    fn compact(&mut self) {
        let first = self.log.snapshot().last_index + 1;
        let committed = (self.commit + 1).saturating_sub(first) as usize;
        let entries = &self.log.entries()[..committed];
        let bytes: usize = entries.iter().map(|e| e.size_bytes()).sum();
        let due = committed >= self.settings.compact_after_entries
            || bytes >= self.settings.compact_after_bytes;
        let Some(last_term) = self.log.term(self.commit).filter(|_| due) else {
            return;
        };
        let snapshot = Snapshot {
            last_index: self.commit,
            last_term,
            members: self.log.members_at(self.commit),
            state: self.state.clone(),
            evacuations: Evacuations::clone(&self.evacuations),
        };
        self.install_in_log(snapshot);
    }
}
