//! Sending and receiving of heartbeats.

use std::time::Instant;

use currantgate_config::EntryId;
use rand::seq::SliceRandom as _;

use crate::liveness::DirectHeartbeat;
use crate::message::LivenessReport;
use crate::record::UpstreamKey;
use crate::{Members, Message};

/// Minimum number of entries that get a heartbeat in each round.
const MIN_FANOUT: usize = 2;

impl Members {
    pub(crate) fn heartbeat(&mut self, now: Instant, to: EntryId) -> Message {
        self.heartbeat_sequence += 1;
        Message::Heartbeat {
            incarnation: self.settings.incarnation,
            sequence: self.heartbeat_sequence,
            stage: self.stage,
            digest: self.table.digest(self.settings.id),
            reports: self.liveness.reports(now, to),
            late: self.late_keys(now),
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: EntryId,
        heartbeat: DirectHeartbeat,
        reports: &[LivenessReport],
        late: &[UpstreamKey],
    ) {
        if !self.liveness.on_heartbeat(now, from, heartbeat) {
            return;
        }
        for report in reports {
            self.liveness.on_report(now, *report);
        }
        self.on_late_report(now, from, late);
        self.refresh_entries(now);
        self.compare_digest(now, from);
    }

    pub(crate) fn clear_outbox_of_dead(&mut self, now: Instant) {
        for (id, peer_outbox) in &mut self.outbox {
            if !self.liveness.is_alive(now, *id) {
                peer_outbox.clear();
            }
        }
    }

    /// Queues this round's heartbeats. All other entries get one in turn, in an order
    /// that is shuffled in each cycle; dead ones too, because they may have restarted.
    pub(crate) fn queue_heartbeats(&mut self) {
        for _ in 0..fanout(self.heartbeat_order.len()).min(self.heartbeat_order.len()) {
            if self.heartbeat_index >= self.heartbeat_order.len() {
                self.heartbeat_order.shuffle(&mut self.rng);
                self.heartbeat_index = 0;
            }
            let id = self.heartbeat_order[self.heartbeat_index];
            self.heartbeat_index += 1;
            if let Some(peer_outbox) = self.outbox.get_mut(&id) {
                peer_outbox.heartbeat = true;
            }
        }
    }
}

/// Returns how many of the other entries get a heartbeat in each round.
///
/// Liveness information reaches all entries in a number of rounds that grows with
/// the logarithm of their number, which has to stay well below the timeout.
pub(crate) fn fanout(others: usize) -> usize {
    let bits = usize::BITS - others.leading_zeros();
    MIN_FANOUT.max(bits as usize / 2)
}
