//! Adaptive concurrency limit of one upstream.

use std::time::Instant;

use crate::Settings;

/// Adaptive limit on concurrent attempts at one upstream.
///
/// The limit is at most the upstream's slots. It is lower after a refusal and
/// during warm-up, and rises with each successful response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    slots: f64,
    level: f64,
    cooldown_until: Instant,
}

impl ConcurrencyLimit {
    /// Returns the initial limit: one attempt for a warming upstream, otherwise all slots.
    pub(crate) fn new(now: Instant, slots: u32, warming: bool) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            level: if warming { 1.0 } else { slots },
            cooldown_until: now,
        }
    }

    /// Sets the number of slots and scales the limit in proportion.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.level = (self.level / self.slots * slots).max(1.0);
        self.slots = slots;
    }

    /// Returns the maximum number of concurrent attempts.
    pub(crate) fn get(&self) -> usize {
        self.level as usize
    }

    /// Returns whether an upstream with `running` attempts may get another one.
    pub(crate) fn admits(&self, now: Instant, running: usize) -> bool {
        running < self.get() && self.cooldown_until <= now
    }

    /// Returns when the cooldown after the last failure ends.
    pub(crate) fn cooldown_until(&self) -> Instant {
        self.cooldown_until
    }

    /// Raises the limit after a successful response.
    pub(crate) fn on_success(&mut self, settings: &Settings) {
        self.level = (self.level + settings.warmup_slots_per_response).min(self.slots);
    }

    /// Lowers the limit below `running` after the upstream refused one of these attempts,
    /// and starts a cooldown.
    pub(crate) fn on_refusal(&mut self, now: Instant, running: usize, settings: &Settings) {
        self.level = self.level.min(running as f64 - 1.0).max(1.0);
        self.start_cooldown(now, settings);
    }

    /// Resets the limit to one concurrent attempt.
    pub(crate) fn reset(&mut self) {
        self.level = 1.0;
    }

    /// Admits no attempt for the cooldown period after a failure.
    pub(crate) fn start_cooldown(&mut self, now: Instant, settings: &Settings) {
        self.cooldown_until = now + settings.cooldown;
    }
}
