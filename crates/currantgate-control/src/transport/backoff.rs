//! The delay before a lost connection is opened again.

use std::time::{Duration, Instant};

/// First and shortest delay.
const MIN_DELAY: Duration = Duration::from_millis(40);

/// Longest delay, so that a lost VM costs little and one that has returned is found
/// soon.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Time without any connection during which the delay stays at the shortest: VMs of
/// a site that has lost power start within a few seconds of each other, and none can
/// serve before it reaches another.
const URGENT_TIME: Duration = Duration::from_secs(5);

/// Delay before another attempt to reach a VM that no other VM lists any more: it may have been
/// removed, or be cut off together with those that would list it.
const UNLISTED_DELAY: Duration = Duration::from_secs(5);

/// Delay before a lost connection is opened again. It doubles with each failure,
/// except while the process has lost all its connections a short time ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReconnectBackoff {
    failures: u32,
}

impl ReconnectBackoff {
    /// Records that the connection was established.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure, and returns the time at which to try again.
    ///
    /// `isolated_since` is the time since which the process has had no connection of
    /// this kind; nothing while it has one.
    pub fn next_attempt(&mut self, now: Instant, isolated_since: Option<Instant>) -> Instant {
        if isolated_since.is_some_and(|since| now < since + URGENT_TIME) {
            self.failures = 0;
            return now + MIN_DELAY;
        }
        let delay = MIN_DELAY.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        now + delay.min(MAX_DELAY)
    }

    /// Returns the time at which to try again to reach a VM that is no longer listed. A process
    /// without any connection can't tell that, and tries as often as for any VM.
    pub fn next_attempt_to_unlisted(
        &mut self,
        now: Instant,
        isolated_since: Option<Instant>,
    ) -> Instant {
        if isolated_since.is_some() {
            return self.next_attempt(now, isolated_since);
        }
        now + UNLISTED_DELAY
    }
}
