//! How many lines of one kind are written.

use std::time::{Duration, Instant};

/// Settings of a [`RateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Lines in each interval; more are counted and left out.
    pub lines: u32,
    /// The interval.
    pub interval: Duration,
}

impl Default for RateLimit {
    /// A hundred lines of 300 bytes a second are 30 KB, which a small VM writes
    /// in well under a hundredth of a core.
    fn default() -> Self {
        Self {
            lines: 100,
            interval: Duration::from_secs(1),
        }
    }
}

/// Bounds the lines of one kind.
#[derive(Debug)]
pub struct RateLimiter {
    limit: RateLimit,
    interval_end: Instant,
    remaining: u32,
    left_out: u64,
}

impl RateLimiter {
    /// Starts with a full budget.
    pub fn new(limit: RateLimit, now: Instant) -> Self {
        Self {
            limit,
            interval_end: now + limit.interval,
            remaining: limit.lines,
            left_out: 0,
        }
    }

    /// Returns how many lines were left out since the last one, when another
    /// may be written now.
    pub fn try_acquire(&mut self, now: Instant) -> Option<u64> {
        if now >= self.interval_end {
            self.interval_end = now + self.limit.interval;
            self.remaining = self.limit.lines;
        }
        if self.remaining == 0 {
            self.left_out += 1;
            return None;
        }
        self.remaining -= 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
