//! Detection of suspensions of the VM.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Shortest suspension that is detected: more than the time between two readings of clocks
/// on a busy VM, and small against the margin in [`crate::GRANT_SPAN`].
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Longest time between two readings of one clock around that of the other. A longer one is
/// repeated. It is a tenth of [`MIN_SUSPENSION`], to which it adds.
const MAX_PAUSE: Duration = Duration::from_millis(1);

/// Most attempts to read the clocks without a pause. A reading takes less than 1 us, so that
/// several pauses in a row are rare even on a busy VM.
const MAX_TRIES: u32 = 4;

/// Readings of the clocks with and without the time of suspensions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the start of the system, that of suspensions included.
    pub boottime: Duration,
    /// The same without the time of suspensions, as [`std::time::Instant`] counts it.
    pub monotonic: Duration,
}

impl ClockReading {
    /// Reads the clocks of the system.
    pub fn now() -> Self {
        Self::read(
            || to_duration(clock_gettime(ClockId::Boottime)),
            || to_duration(clock_gettime(ClockId::Monotonic)),
        )
    }

    /// Reads two clocks.
    ///
    /// The clock with suspensions is read between two readings of the other, and the first
    /// of these counts. A pause of the process within the reading shows as suspended time,
    /// and hides none. To avoid that, the reading is repeated a few times, and
    /// the one with the shortest pause is returned.
    pub fn read(
        mut boottime: impl FnMut() -> Duration,
        mut monotonic: impl FnMut() -> Duration,
    ) -> Self {
        let mut shortest: Option<(Duration, Self)> = None;
        for _ in 0..MAX_TRIES {
            let before = monotonic();
            let reading = Self {
                boottime: boottime(),
                monotonic: before,
            };
            let pause = monotonic().saturating_sub(before);
            if shortest.is_none_or(|(shortest, _)| pause < shortest) {
                shortest = Some((pause, reading));
            }
            if pause <= MAX_PAUSE {
                break;
            }
        }
        shortest.map_or_else(Self::default, |(_, reading)| reading)
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
