//! Admission by an entry's share of the fleet's capacity.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::sliding_window::SlidingWindow;
use crate::{PlacementRequest, Priority, ServiceShares, SharingSettings};

/// Decides by the figures of the fleet which new flows of a service are refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareAdmission {
    /// Number of flows of each priority that may be refused: the sum of the parts of the
    /// arrivals for which the fleet has no slots, less the refused ones.
    excess: BTreeMap<Priority, f64>,
    /// Slot times of the flows that ended.
    slot_times: SlidingWindow<Duration>,
    /// What is added to the limit of waiting flows before it is rounded down, from 0 to 1.
    rounding: f64,
}

impl ShareAdmission {
    /// Records the slot time of a flow that has ended.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        slot_time: Duration,
        settings: &SharingSettings,
    ) {
        let max_samples = settings.max_slot_times;
        self.slot_times.push(now, slot_time, max_samples);
    }

    /// Counts an arrival, and tells whether flows beyond the limit are refused now.
    ///
    /// No more flows are refused than exceed the capacity of the fleet. Otherwise callers
    /// that return after a refusal could keep a fleet refusing that has free slots.
    /// Figures of a burst arrive late; until then, long times in queues show it.
    pub(crate) fn may_refuse(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        shares: &ServiceShares,
        settings: &SharingSettings,
    ) -> bool {
        let admitted = shares.admitted.get(&request.priority).copied();
        let admitted = admitted.unwrap_or(1.0) * settings.capacity_margin;
        let excess = (1.0 - admitted).max(0.0) * settings.excess_factor;
        let sum = self.excess.entry(request.priority).or_default();
        *sum = (*sum + excess).min(settings.max_excess);
        if excess <= 0.0 {
            *sum = 0.0;
        }
        *sum >= 1.0 || self.are_queues_long(now, shares, settings)
    }

    /// Counts a refused flow.
    pub(crate) fn record_refusal(&mut self, priority: Priority) {
        if let Some(sum) = self.excess.get_mut(&priority) {
            *sum = (*sum - 1.0).max(0.0);
        }
    }

    /// Reverts the count of a refused flow.
    pub(crate) fn cancel_refusal(&mut self, priority: Priority) {
        if let Some(sum) = self.excess.get_mut(&priority) {
            *sum += 1.0;
        }
    }

    /// Returns what is added to a limit before it is rounded down.
    pub(crate) fn rounding(&self) -> f64 {
        self.rounding
    }

    /// Sets what is added to a limit before it is rounded down: drawn evenly from 0 to 1, a
    /// fractional limit is met on average.
    pub(crate) fn set_rounding(&mut self, rounding: f64) {
        self.rounding = rounding;
    }

    fn are_queues_long(
        &mut self,
        now: Instant,
        shares: &ServiceShares,
        settings: &SharingSettings,
    ) -> bool {
        self.slot_times.evict_expired(now, settings.change_window);
        let count = self.slot_times.len();
        if count < settings.min_slot_times {
            return false;
        }
        let sum: Duration = self.slot_times.events().sum();
        let mean_ms = sum.as_secs_f64() * 1_000.0 / count as f64;
        mean_ms > settings.long_queue_factor * shares.work_ms
    }
}

/// Returns the number of open flows from which this entry may refuse new ones.
///
/// It is the entry's share of the flows that the fleet completes within the acceptable
/// time (Little's law). The shares of all entries add up to that number, so that it
/// holds however many entries there are.
pub(crate) fn flow_limit(
    shares: &ServiceShares,
    latency_target: Duration,
    settings: &SharingSettings,
) -> f64 {
    let target_ms = latency_target.as_secs_f64() * 1_000.0 * settings.late_target_factor;
    let flows_per_slot = (target_ms / shares.work_ms).clamp(1.0, settings.flows_per_slot);
    // Flows in slots last longer at slow upstreams, and few of them should wait there.
    let waiting = shares.fleet_slots * (flows_per_slot - 1.0);
    shares.own_share * (shares.fleet_flows + waiting)
}
