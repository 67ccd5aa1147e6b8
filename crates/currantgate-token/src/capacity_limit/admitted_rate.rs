//! The rate at which an entry takes new flows.

use std::time::{Duration, Instant};

/// Length of a period in which flows are counted, which holds two slices of a process that
/// gets a part of a core every 100 ms.
const PERIOD: Duration = Duration::from_millis(200);

/// Counts the new flows that an entry takes.
#[derive(Debug)]
pub(super) struct AdmittedRate {
    period_end: Instant,
    flows: u32,
    /// Flows in the previous period.
    previous: u32,
}

impl AdmittedRate {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            period_end: now + PERIOD,
            flows: 0,
            previous: 0,
        }
    }

    pub(super) fn record(&mut self, now: Instant) {
        self.roll(now);
        self.flows += 1;
    }

    /// Returns the flows per second: those of the current or of the previous period,
    /// whichever has more, as a load may have started within the current one.
    pub(super) fn per_second(&mut self, now: Instant) -> f64 {
        self.roll(now);
        f64::from(self.flows.max(self.previous)) / PERIOD.as_secs_f64()
    }

    fn roll(&mut self, now: Instant) {
        if now < self.period_end {
            return;
        }
        let is_next = now < self.period_end + PERIOD;
        self.previous = if is_next { self.flows } else { 0 };
        self.flows = 0;
        self.period_end = now + PERIOD;
    }
}
