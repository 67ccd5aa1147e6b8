//! Limits the rate of log lines of one kind.

use std::time::{Duration, Instant};

/// A maximum rate of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// The maximum number of lines in each interval; further lines are counted and
    /// left out.
    pub lines: u32,
    /// The length of an interval.
    pub interval: Duration,
}

impl Default for RateLimit {
    /// Returns 100 lines per second. At 300 bytes per line these are 30 KB, which
    /// take a small VM well under a hundredth of a core to write.
    fn default() -> Self {
        Self {
            lines: 100,
            interval: Duration::from_secs(1),
        }
    }
}

/// Limits the rate of lines of one kind.
#[derive(Debug)]
pub struct RateLimiter {
    limit: RateLimit,
    interval_end: Instant,
    remaining: u32,
    left_out: u64,
}

impl RateLimiter {
    /// Returns a limiter whose first interval starts at `now`.
    pub fn new(limit: RateLimit, now: Instant) -> Self {
        Self {
            limit,
            interval_end: now + limit.interval,
            remaining: limit.lines,
            left_out: 0,
        }
    }

    /// Returns the number of lines that were left out since the last permitted
    /// one, or `None` if the limit of this interval is reached.
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
