//! How many attempts an upstream gets at once.

use std::time::Instant;

use crate::Settings;

/// How many attempts an upstream gets at once: at most its slots, less after
/// refusals and while it warms up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    slots: f64,
    level: f64,
    paused_until: Instant,
}

impl Limit {
    /// Returns the limit of an upstream that was seen for the first time.
    pub(crate) fn new(now: Instant, slots: u32, warming: bool) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            level: if warming { 1.0 } else { slots },
            paused_until: now,
        }
    }

    /// Takes a changed number of slots.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.level = (self.level / self.slots * slots).max(1.0);
        self.slots = slots;
    }

    /// Returns the number of attempts allowed at once.
    pub(crate) fn get(&self) -> usize {
        self.level as usize
    }

    /// Tells whether an upstream with `running` attempts may get another.
    pub(crate) fn admits(&self, now: Instant, running: usize) -> bool {
        running < self.get() && self.paused_until <= now
    }

    /// Returns when the pause after a failure ends.
    pub(crate) fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Raises the limit after an answer.
    pub(crate) fn grow(&mut self, settings: &Settings) {
        self.level = (self.level + settings.warmup_slots_per_response).min(self.slots);
    }

    /// Lowers the limit after the upstream refused one of `running` attempts.
    pub(crate) fn refused(&mut self, now: Instant, running: usize, settings: &Settings) {
        self.level = self.level.min(running as f64 - 1.0).max(1.0);
        self.pause(now, settings);
    }

    /// Starts again from one attempt at a time.
    pub(crate) fn restart(&mut self) {
        self.level = 1.0;
    }

    /// Pauses after a failure.
    pub(crate) fn pause(&mut self, now: Instant, settings: &Settings) {
        self.paused_until = now + settings.cooldown;
    }
}
