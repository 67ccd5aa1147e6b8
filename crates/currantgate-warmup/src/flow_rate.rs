//! The recent rate of new flows of a service.

use std::time::{Duration, Instant};

/// Time over which the rate is averaged: long enough for some flows of a small entry,
/// short enough to follow a burst.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Exponential moving average of the flows per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRate {
    per_second: f64,
    at: Instant,
}

impl FlowRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    /// Records a new flow.
    pub(crate) fn record(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.at = now;
    }

    /// Returns the flows per second.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        let decay = elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.per_second * (-decay).exp()
    }
}
