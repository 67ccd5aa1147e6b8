//! Moving averages that decay exponentially with time.

use std::time::{Duration, Instant};

/// Moving average of durations, which decays exponentially towards zero between samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingAverage {
    seconds: f64,
    updated: Instant,
    half_life: Duration,
}

impl DecayingAverage {
    /// Returns an average without samples.
    pub(crate) fn new(now: Instant, half_life: Duration) -> Self {
        Self {
            seconds: 0.0,
            updated: now,
            half_life,
        }
    }

    /// Adds a sample to a peak-sensitive average: a sample above the average replaces it,
    /// a lower one is weighted by the time since the last sample.
    pub(crate) fn observe_peak(&mut self, now: Instant, sample: Duration) {
        let sample = sample.as_secs_f64();
        let decay = self.decay(now);
        self.seconds = sample.max(self.seconds * decay + sample * (1.0 - decay));
        self.updated = now;
    }

    /// Adds a sample with the weight `1 / window`; the first one is taken as it is.
    pub(crate) fn observe_mean(&mut self, now: Instant, sample: Duration, window: f64) {
        let sample = sample.as_secs_f64();
        let has_samples = self.seconds > 0.0;
        let weight = if has_samples { 1.0 / window } else { 1.0 };
        self.seconds += (sample - self.seconds) * weight;
        self.updated = now;
    }

    /// Returns the average in seconds, decayed by the time since the last sample.
    pub(crate) fn seconds_at(&self, now: Instant) -> f64 {
        self.seconds * self.decay(now)
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        (-age / self.half_life.as_secs_f64()).exp2()
    }
}
