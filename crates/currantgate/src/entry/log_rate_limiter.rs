//! Rate limit of log lines, so that malformed input can't fill the log.

use std::time::{Duration, Instant};

/// Number of lines that a limiter permits in each window.
const LINES_PER_WINDOW: u32 = 5;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(10);

/// Rate limiter that permits a few lines in each window and counts the others.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    window_end: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns whether a line may be logged at `now`: if so, the number of lines
    /// suppressed since the last permitted one, else `None`.
    pub(crate) fn allow(&mut self, now: Instant) -> Option<u64> {
        if self.window_end.is_none_or(|end| now >= end) {
            self.window_end = Some(now + WINDOW);
            self.lines = 0;
        }
        if self.lines == LINES_PER_WINDOW {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
