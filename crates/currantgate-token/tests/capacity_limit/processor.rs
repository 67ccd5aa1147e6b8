//! The processor of a simulated entry.

use std::time::Duration;

/// Time in which the process gets one slice.
const PERIOD: Duration = Duration::from_millis(100);

/// A part of a core: once the slice of a period is used up, the process is paused.
pub(crate) struct Processor {
    slice: Duration,
    period_end: Duration,
    remaining: Duration,
}

impl Processor {
    pub(crate) fn new(part: f64) -> Self {
        Self {
            slice: PERIOD.mul_f64(part),
            period_end: Duration::ZERO,
            remaining: Duration::ZERO,
        }
    }

    /// Returns when the process can run, at `now` or later.
    pub(crate) fn next_run(&mut self, now: Duration) -> Duration {
        if now < self.period_end && !self.remaining.is_zero() {
            return now;
        }
        let start = now.max(self.period_end);
        self.remaining = self.slice;
        self.period_end = start + PERIOD;
        start
    }

    /// Runs the process from `now` on; returns when it has run for `time`.
    pub(crate) fn run(&mut self, now: Duration, time: Duration) -> Duration {
        self.remaining = self.remaining.saturating_sub(time);
        now + time
    }
}
