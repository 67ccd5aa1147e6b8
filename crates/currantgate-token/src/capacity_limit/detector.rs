//! The detector of an entry's own limit.

use std::time::Instant;

use indexmap::IndexMap;

use super::admission_rate::AdmissionRate;
use super::admitted_rate::AdmittedRate;
use super::dropped_flows::DroppedFlows;
use super::receive_queue::ReceiveQueue;
use super::reset_budget::ResetBudget;
use super::{CapacityLimitSettings, LimitAdmission, LimitCause, LimitChange};
use crate::FirstPacket;

/// Detects that an entry's processor or link is the bottleneck, and decides then which new
/// flows are taken.
///
/// Only the first packets of flows that the entry has no record of are decided about here.
#[derive(Debug)]
pub struct CapacityLimit {
    settings: CapacityLimitSettings,
    queue: ReceiveQueue,
    /// Time until which the link's buffer counts as full.
    full_until: Option<Instant>,
    /// Whether the receive queue shows that the processor is at its limit.
    is_queue_long: bool,
    resets: ResetBudget,
    admitted: AdmittedRate,
    dropped: DroppedFlows,
    /// Causes of the limit, and when each ends to limit new flows.
    causes: IndexMap<LimitCause, Instant>,
    /// Nothing while there is no cause.
    rate: Option<AdmissionRate>,
    changes: Vec<LimitChange>,
}

impl CapacityLimit {
    /// Returns a detector of an entry that is not at its limit.
    pub fn new(now: Instant, settings: CapacityLimitSettings) -> Self {
        Self {
            settings,
            queue: ReceiveQueue::default(),
            full_until: None,
            is_queue_long: false,
            resets: ResetBudget::default(),
            admitted: AdmittedRate::new(now),
            dropped: DroppedFlows::default(),
            causes: IndexMap::new(),
            rate: None,
            changes: Vec::new(),
        }
    }

    /// Records that a packet was read from the receive queue.
    pub fn record_packet(&mut self, now: Instant) {
        self.is_queue_long = self.queue.record_packet(now, &self.settings);
        if self.is_queue_long {
            self.record_sign(now, LimitCause::Processor);
        }
    }

    /// Records that a read found the receive queue empty.
    pub fn record_empty(&mut self, now: Instant) {
        self.update(now);
        self.queue.record_empty();
        self.is_queue_long = false;
    }

    /// Records that the system took a packet to send.
    pub fn record_sent(&mut self) {
        self.resets.record_sent(&self.settings);
    }

    /// Records that the system did not take a packet, as the link's buffer is full.
    pub fn record_full(&mut self, now: Instant) {
        self.update(now);
        self.full_until = Some(now + self.settings.full_time);
        self.record_sign(now, LimitCause::Link);
    }

    /// Decides about the first packet of a flow that the entry has no record of.
    ///
    /// A retransmission is taken and counts as a new flow, unless this entry has dropped the
    /// packet before. Then it may be dropped again, but is not refused: another entry may have
    /// placed another copy.
    pub fn admit(&mut self, now: Instant, packet: &FirstPacket) -> LimitAdmission {
        self.update(now);
        let is_copy = packet.retransmissions > 0;
        let is_due = match &mut self.rate {
            Some(rate) if is_copy && self.dropped.contains(now, &packet.flow) => {
                rate.try_admit_late()
            }
            Some(rate) if is_copy => {
                rate.record_admitted();
                true
            }
            Some(rate) => rate.try_admit(),
            None => true,
        };
        if is_due {
            self.dropped.remove(&packet.flow);
            self.admitted.record(now);
            return LimitAdmission::Admit;
        }
        // While the link's buffer is full, a reset would be lost, or keep out a packet of
        // an open flow.
        if !is_copy && !self.is_link_full(now) && self.resets.try_use() {
            return LimitAdmission::Refuse;
        }
        self.dropped.insert(now, packet.flow);
        LimitAdmission::Drop
    }

    /// Returns whether new flows are limited as a resource is the bottleneck.
    pub fn is_limited_by(&mut self, now: Instant, cause: LimitCause) -> bool {
        self.update(now);
        self.causes.contains_key(&cause)
    }

    /// Returns and removes the starts and ends of the limit since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<LimitChange> {
        self.update(now);
        std::mem::take(&mut self.changes)
    }

    fn is_link_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    fn record_sign(&mut self, now: Instant, cause: LimitCause) {
        self.update(now);
        let ends_at = now + self.settings.hold_time;
        if self.causes.insert(cause, ends_at).is_none() {
            self.changes.push(LimitChange::Started(cause));
        }
        let rate = self.admitted.per_second(now);
        let new_rate = || AdmissionRate::new(now, rate, &self.settings);
        self.rate.get_or_insert_with(new_rate);
    }

    /// Ends causes whose time has passed, and updates the rate of new flows.
    fn update(&mut self, now: Instant) {
        let changes = &mut self.changes;
        self.causes.retain(|cause, ends_at| {
            let lasts = now < *ends_at;
            if !lasts {
                changes.push(LimitChange::Ended(*cause));
            }
            lasts
        });
        if self.causes.is_empty() {
            self.rate = None;
        }
        let share = if self.is_link_full(now) {
            0.0
        } else if self.is_queue_long {
            self.settings.busy_share
        } else {
            1.0
        };
        if let Some(rate) = &mut self.rate {
            rate.update(now, share, &self.settings);
        }
    }
}
