//! Detection of the times in which the process was stopped.

use std::time::{Duration, Instant};

/// Time without a check from which the process counts as stopped. Checks are made each
/// 100 ms; the fabric takes a second to send a flow's packets to another entry.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Detects that the process was stopped while the clock went on. After a suspension of the
/// VM, [`currantgate_warmup::SuspensionDetector`] tells.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_check: Instant,
}

impl StallDetector {
    pub(super) fn new(now: Instant) -> Self {
        Self { last_check: now }
    }

    /// Returns whether the process was stopped since the last check.
    pub(super) fn check(&mut self, now: Instant) -> bool {
        let was_stopped = now >= self.last_check + STALL_TIME;
        self.last_check = now;
        was_stopped
    }
}
