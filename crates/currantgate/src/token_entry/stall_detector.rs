//! Detection of the times in which the process was stopped.

use std::time::{Duration, Instant};

use currantgate_warmup::{ClockReading, SuspensionDetector};

/// Time without a check from which the process counts as stopped. Checks are made each
/// 100 ms; the fabric takes a second to send a flow's packets to another entry.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time for which packets count as delayed after a stall: until the receive queue is
/// empty, even on a small VM.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// Detects that the process was stopped, whether or not the clock went on meanwhile.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_check: Instant,
    suspensions: SuspensionDetector,
}

impl StallDetector {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last_check: now,
            suspensions: SuspensionDetector::new(ClockReading::now()),
        }
    }

    /// Returns the time until which packets may be delayed, if the process was stopped since
    /// the last check.
    pub(super) fn check(&mut self, now: Instant) -> Option<Instant> {
        let is_late = now >= self.last_check + STALL_TIME;
        self.last_check = now;
        let was_suspended = self.suspensions.detect(ClockReading::now());
        (is_late || was_suspended).then(|| now + CATCH_UP_TIME)
    }
}
