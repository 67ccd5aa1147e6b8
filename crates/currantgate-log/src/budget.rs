//! How many lines of one kind are written.

use std::time::{Duration, Instant};

/// Settings of a [`LineBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineBudgetSettings {
    /// Lines in each interval; more are counted and left out.
    pub lines: u32,
    /// The interval.
    pub interval: Duration,
}

impl Default for LineBudgetSettings {
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
pub struct LineBudget {
    settings: LineBudgetSettings,
    ends: Instant,
    rest: u32,
    left_out: u64,
}

impl LineBudget {
    /// Starts with a full budget.
    pub fn new(settings: LineBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            ends: now + settings.interval,
            rest: settings.lines,
            left_out: 0,
        }
    }

    /// Returns how many lines were left out since the last one, when another
    /// may be written now.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now >= self.ends {
            self.ends = now + self.settings.interval;
            self.rest = self.settings.lines;
        }
        if self.rest == 0 {
            self.left_out += 1;
            return None;
        }
        self.rest -= 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
