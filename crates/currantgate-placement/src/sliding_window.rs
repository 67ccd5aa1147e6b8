//! Events within a sliding window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Events within a sliding window of time, of which a bounded number is kept.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow<T> {
    events: VecDeque<(Instant, T)>,
    /// Whether events within the window were dropped to keep the bound.
    is_truncated: bool,
}

impl<T> Default for SlidingWindow<T> {
    fn default() -> Self {
        Self {
            events: VecDeque::new(),
            is_truncated: false,
        }
    }
}

impl<T: Copy> SlidingWindow<T> {
    /// Adds an event, and drops the oldest one when `max_len` are kept already.
    pub(crate) fn push(&mut self, now: Instant, event: T, max_len: usize) {
        if self.events.len() >= max_len {
            self.events.pop_front();
            self.is_truncated = true;
        }
        self.events.push_back((now, event));
    }

    /// Drops the events that are older than the window.
    pub(crate) fn evict_expired(&mut self, now: Instant, window: Duration) {
        while let Some((at, _)) = self.events.front()
            && now.saturating_duration_since(*at) > window
        {
            self.events.pop_front();
            self.is_truncated = false;
        }
    }

    /// Returns the number of events within the window. When some were dropped, it
    /// is extrapolated from the time that the kept ones span.
    pub(crate) fn estimated_count(&self, now: Instant, window: Duration) -> f64 {
        let oldest = self.events.front().filter(|_| self.is_truncated);
        let span = oldest.map_or(window, |(at, _)| now.saturating_duration_since(*at));
        let windows = window.as_secs_f64() / span.as_secs_f64().max(f64::EPSILON);
        self.events.len() as f64 * windows
    }

    /// Returns the time of the newest event.
    pub(crate) fn last_at(&self) -> Option<Instant> {
        self.events.back().map(|(at, _)| *at)
    }

    /// Returns the number of events that are kept.
    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns the kept events, oldest first.
    pub(crate) fn events(&self) -> impl Iterator<Item = T> {
        self.events.iter().map(|(_, event)| *event)
    }
}
