//! A moving average of time to answer.

use std::time::{Duration, Instant};

/// A moving average of time to answer, whose past counts less as time passes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    seconds: f64,
    updated: Instant,
    half_life: Duration,
}

impl Latency {
    /// Returns an average that knows nothing yet.
    pub(crate) fn new(now: Instant, half_life: Duration) -> Self {
        Self {
            seconds: 0.0,
            updated: now,
            half_life,
        }
    }

    /// Takes a sample; one above the average counts at once and in full.
    pub(crate) fn observe_peak(&mut self, now: Instant, sample: Duration) {
        let sample = sample.as_secs_f64();
        let kept = self.kept(now);
        self.seconds = sample.max(self.seconds * kept + sample * (1.0 - kept));
        self.updated = now;
    }

    /// Takes a sample with the weight of one in `window`.
    pub(crate) fn observe_mean(&mut self, now: Instant, sample: Duration, window: f64) {
        let sample = sample.as_secs_f64();
        let known = self.seconds > 0.0;
        let weight = if known { 1.0 / window } else { 1.0 };
        self.seconds += (sample - self.seconds) * weight;
        self.updated = now;
    }

    /// Returns the average in seconds, less the older it is.
    pub(crate) fn at(&self, now: Instant) -> f64 {
        self.seconds * self.kept(now)
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        (-age / self.half_life.as_secs_f64()).exp2()
    }
}
