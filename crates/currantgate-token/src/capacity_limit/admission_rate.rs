//! The rate of new flows that an entry at its limit takes.

use std::time::Instant;

use super::CapacityLimitSettings;

/// Time whose flows may be accumulated or overdrawn: the pause of a process that gets a part of a
/// core in each 100 ms.
const MAX_SAVED_SECONDS: f64 = 0.1;

/// Takes new flows at a rate that falls while there are signs of a limit, and grows while there
/// are none.
#[derive(Debug)]
pub(super) struct AdmissionRate {
    per_second: f64,
    /// Flows that may be taken now; less than 0 after retransmissions beyond the rate.
    available: f64,
    updated_at: Instant,
    /// Part of the rate at which flows are taken; 1 without a sign of a limit.
    share: f64,
    /// When signs of a limit ended or started.
    changed_at: Instant,
    /// When the rate is reduced again if signs last until then.
    reduced_again_at: Instant,
}

impl AdmissionRate {
    /// Returns the rate after the first sign of a limit, from the flows a second until then.
    pub(super) fn new(now: Instant, per_second: f64, settings: &CapacityLimitSettings) -> Self {
        let reduced = per_second * settings.first_reduction;
        Self {
            per_second: reduced.max(settings.min_flows_per_second),
            available: 0.0,
            updated_at: now,
            share: 0.0,
            changed_at: now,
            reduced_again_at: now + settings.reduction_interval,
        }
    }

    /// Updates the rate to `now`, when a `share` of the rate may be taken from now on: 1
    /// without a sign of a limit.
    pub(super) fn update(&mut self, now: Instant, share: f64, settings: &CapacityLimitSettings) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let was_free = self.share >= 1.0;
        if was_free {
            let free_seconds = now.saturating_duration_since(self.changed_at).as_secs_f64();
            let growth = settings.growth_per_second + settings.growth_acceleration * free_seconds;
            self.per_second *= 1.0 + growth * elapsed;
        }
        let available = self.available + self.per_second * self.share * elapsed;
        self.available = available.min(self.max_saved());
        if share < 1.0 && (was_free || now >= self.reduced_again_at) {
            self.reduced_again_at = now + settings.reduction_interval;
            let reduced = self.per_second * settings.reduction;
            self.per_second = reduced.max(settings.min_flows_per_second);
        }
        if was_free != (share >= 1.0) {
            self.changed_at = now;
        }
        self.share = share;
    }

    /// Takes a new flow if the rate allows it.
    pub(super) fn try_admit(&mut self) -> bool {
        let is_allowed = self.available >= 1.0;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }

    /// Takes a flow that was dropped before if no new flow needs the rate.
    pub(super) fn try_admit_late(&mut self) -> bool {
        self.available >= self.max_saved() && self.try_admit()
    }

    /// Counts a retransmission of an unknown flow, which is taken in any case.
    pub(super) fn record_admitted(&mut self) {
        self.available = (self.available - 1.0).max(-self.max_saved());
    }

    fn max_saved(&self) -> f64 {
        (self.per_second * MAX_SAVED_SECONDS).max(1.0)
    }
}
