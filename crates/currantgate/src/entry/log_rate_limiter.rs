//! Keeps hostile input from filling the log.

use std::time::{Duration, Instant};

/// Lines that one limit lets through in each window.
const LINES_PER_WINDOW: u32 = 5;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(10);

/// Lets a few lines through in each window and counts the rest.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    window_ends: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogLimit {
    /// Tells whether a line may be logged at `now`, and how many were held
    /// back since the last one.
    pub(crate) fn allow(&mut self, now: Instant) -> Option<u64> {
        if self.window_ends.is_none_or(|end| now >= end) {
            self.window_ends = Some(now + WINDOW);
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
