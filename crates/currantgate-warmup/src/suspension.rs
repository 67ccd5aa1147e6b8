//! Detection of suspensions of the VM.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Shortest suspension that is detected: more than the time between two readings of clocks
/// on a busy VM, and small against the margin in [`crate::GRANT_SPAN`].
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Readings of the clocks with and without the time of suspensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the start of the system, that of suspensions included.
    pub boottime: Duration,
    /// The same without the time of suspensions, as [`std::time::Instant`] counts it.
    pub monotonic: Duration,
}

impl ClockReading {
    /// Reads the clocks of the system.
    ///
    /// The clock without suspensions is read last. If the process is delayed between the
    /// two, the reading shows too little suspended time, which the next one corrects.
    pub fn now() -> Self {
        let boottime = to_duration(clock_gettime(ClockId::Boottime));
        let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
        Self {
            boottime,
            monotonic,
        }
    }

    fn suspended(&self) -> Duration {
        self.boottime.saturating_sub(self.monotonic)
    }
}

fn to_duration(time: rustix::time::Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}

/// Detects suspensions of the VM by the difference of two clocks.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    /// Longest suspended time since the start of the system that was seen.
    suspended: Duration,
}

impl SuspensionDetector {
    /// Returns a detector of suspensions after the given reading.
    pub fn new(reading: ClockReading) -> Self {
        Self {
            suspended: reading.suspended(),
        }
    }

    /// Tells whether the VM was suspended since the last detected suspension.
    pub fn detect(&mut self, reading: ClockReading) -> bool {
        let is_suspended = reading.suspended() > self.suspended + MIN_SUSPENSION;
        if is_suspended {
            self.suspended = reading.suspended();
        }
        is_suspended
    }
}
