//! Schedule by which an entry applies its view of the upstreams to routing.

use std::time::{Duration, Instant};

/// Shortest interval between two refreshes: small against the seconds within which a
/// drain must take effect.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Addition to the interval per upstream. A refresh takes about 1 us per upstream, so that
/// refreshes use at most a hundredth of a core, a fifth of the smallest entry VM.
const INTERVAL_PER_UPSTREAM: Duration = Duration::from_micros(100);

/// Factor by which the interval is longer while nothing has changed except time.
const UNCHANGED_FACTOR: u32 = 5;

/// Longest interval between two refreshes: shorter than the time for which an unconfirmed
/// upstream counts as ready.
const MAX_INTERVAL: Duration = Duration::from_millis(1_500);

/// Decides when the next refresh is due.
///
/// After a restart of a whole site, changes arrive one by one; a refresh for each would
/// leave no time for packets.
#[derive(Debug)]
pub struct ViewRefreshTimer {
    has_changed: bool,
    due_when_changed: Instant,
    due_when_unchanged: Instant,
}

impl ViewRefreshTimer {
    /// Returns a timer whose first refresh is due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            has_changed: true,
            due_when_changed: now,
            due_when_unchanged: now,
        }
    }

    /// Records that the view has changed.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Tells whether a refresh is due.
    pub fn is_due(&self, now: Instant) -> bool {
        (self.has_changed && now >= self.due_when_changed) || now >= self.due_when_unchanged
    }

    /// Records a refresh over the given number of upstreams.
    pub fn record_refresh(&mut self, now: Instant, upstreams: usize) {
        let count = u32::try_from(upstreams).unwrap_or(u32::MAX);
        let interval =
            (MIN_INTERVAL + INTERVAL_PER_UPSTREAM.saturating_mul(count)).min(MAX_INTERVAL);
        self.has_changed = false;
        self.due_when_changed = now + interval;
        self.due_when_unchanged = now + (interval * UNCHANGED_FACTOR).min(MAX_INTERVAL);
    }
}
