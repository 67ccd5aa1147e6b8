//! Rate at which a service's flows are placed while others wait.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of flows over which the rate is measured: about those of 0.15 s at an entry of a
/// large fleet at its limit.
const MAX_PLACED: usize = 16;

/// Fewest flows over which it is measured.
const MIN_PLACED: usize = 8;

/// Times at which the last flows of a service were placed while others waited.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartureRate {
    placed: VecDeque<Instant>,
}

impl DepartureRate {
    /// Counts a placed flow.
    pub(crate) fn record(&mut self, now: Instant) {
        if self.placed.len() >= MAX_PLACED {
            self.placed.pop_front();
        }
        self.placed.push_back(now);
    }

    /// Returns the mean time between the flows; nothing while there are too few.
    pub(crate) fn interval(&self, now: Instant) -> Option<Duration> {
        let oldest = self.placed.front()?;
        let count = u32::try_from(self.placed.len()).ok()?;
        let span = now.saturating_duration_since(*oldest);
        (self.placed.len() >= MIN_PLACED).then(|| span / count)
    }
}
