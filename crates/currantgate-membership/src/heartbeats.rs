//! Heartbeats to and from other entries.

use std::time::Instant;

use currantgate_config::EntryId;
use rand::seq::SliceRandom as _;

use crate::liveness::Beat;
use crate::message::LivenessReport;
use crate::record::UpstreamKey;
use crate::{Members, Message};

/// How many other entries get a heartbeat in each round, at the least.
const MIN_FANOUT: usize = 2;

impl Members {
    pub(crate) fn heartbeat(&mut self, now: Instant, to: EntryId) -> Message {
        self.heartbeats += 1;
        Message::Heartbeat {
            incarnation: self.settings.incarnation,
            sequence: self.heartbeats,
            stage: self.stage,
            digest: self.table.digest(self.settings.id),
            reports: self.liveness.reports(now, to),
            late: self.late_keys(now),
        }
    }

    pub(crate) fn take_heartbeat(
        &mut self,
        now: Instant,
        from: EntryId,
        beat: Beat,
        reports: &[LivenessReport],
        late: &[UpstreamKey],
    ) {
        if !self.liveness.take_beat(now, from, beat) {
            return;
        }
        for report in reports {
            self.liveness.take_report(now, *report);
        }
        self.on_late_report(now, from, late);
        self.refresh_entries(now);
        self.compare_digest(now, from);
    }

    pub(crate) fn clear_dead(&mut self, now: Instant) {
        for (id, pending) in &mut self.outbox {
            if !self.liveness.is_alive(now, *id) {
                pending.clear();
            }
        }
    }

    /// Picks who gets this round's heartbeats: all others in turn, dead ones
    /// too, since they may have come back, in an order that changes.
    pub(crate) fn queue_heartbeats(&mut self) {
        for _ in 0..fanout(self.cycle.len()).min(self.cycle.len()) {
            if self.cycle_at >= self.cycle.len() {
                self.cycle.shuffle(&mut self.rng);
                self.cycle_at = 0;
            }
            let id = self.cycle[self.cycle_at];
            self.cycle_at += 1;
            if let Some(pending) = self.outbox.get_mut(&id) {
                pending.heartbeat = true;
            }
        }
    }
}

/// Returns how many of the other entries get a heartbeat in each round.
///
/// A sign of life reaches all within a number of rounds that grows with the
/// logarithm of the others; it has to stay well within the timeout.
pub(crate) fn fanout(others: usize) -> usize {
    let bits = usize::BITS - others.leading_zeros();
    MIN_FANOUT.max(bits as usize / 2)
}
