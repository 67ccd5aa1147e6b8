//! Durations of the last flows of a service.

use std::time::{Duration, Instant};

use crate::sliding_window::SlidingWindow;

/// Number of durations that are kept.
const MAX_DURATIONS: usize = 32;

/// Fewest durations whose median is used.
const MIN_DURATIONS: usize = 8;

/// Durations of the last flows of a service, however long ago they ended.
///
/// An entry of a large fleet ends so few flows that the window of admission control
/// seldom holds enough of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentDurations {
    durations: SlidingWindow<Duration>,
}

impl RecentDurations {
    /// Adds the duration of a flow that has ended.
    pub(crate) fn push(&mut self, now: Instant, duration: Duration) {
        self.durations.push(now, duration, MAX_DURATIONS);
    }

    /// Returns the time of the last end.
    pub(crate) fn last_at(&self) -> Option<Instant> {
        self.durations.last_at()
    }

    /// Returns the median; nothing while there are too few durations.
    pub(crate) fn median(&self) -> Option<Duration> {
        if self.durations.len() < MIN_DURATIONS {
            return None;
        }
        let mut durations: Vec<_> = self.durations.events().collect();
        let middle = durations.len() / 2;
        Some(*durations.select_nth_unstable(middle).1)
    }
}
