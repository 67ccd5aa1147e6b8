//! The clock of a VM that drifts, freezes and is suspended.

use std::time::{Duration, Instant};

use currantgate_warmup::{ClockReading, SuspensionDetector};

/// The clock of a VM, with the times at which the VM does not run.
pub(crate) struct VmClock {
    origin: Instant,
    /// Seconds of this clock in a second.
    rate: f64,
    /// Time of suspensions, in milliseconds.
    suspended_ms: u64,
    /// Time until which the VM does not run.
    stopped_until: u64,
    detector: SuspensionDetector,
}

impl VmClock {
    pub(crate) fn new(rate: f64) -> Self {
        let start = ClockReading {
            boottime: Duration::ZERO,
            monotonic: Duration::ZERO,
        };
        Self {
            origin: Instant::now(),
            rate,
            suspended_ms: 0,
            stopped_until: 0,
            detector: SuspensionDetector::new(start),
        }
    }

    pub(crate) fn runs(&self, time: u64) -> bool {
        time >= self.stopped_until
    }

    /// Stops the VM. Its monotonic clock advances if it is frozen, and stops if it is
    /// suspended.
    pub(crate) fn stop(&mut self, time: u64, for_ms: u64, is_suspended: bool) {
        if !self.runs(time) {
            return;
        }
        self.stopped_until = time + for_ms;
        if is_suspended {
            self.suspended_ms += for_ms;
        }
    }

    fn scaled(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).mul_f64(self.rate)
    }

    pub(crate) fn now(&self, time: u64) -> Instant {
        self.origin + self.scaled(time - self.suspended_ms)
    }

    /// Tells whether the VM was suspended since the last call.
    pub(crate) fn was_suspended(&mut self, time: u64) -> bool {
        let reading = ClockReading {
            boottime: self.scaled(time),
            monotonic: self.scaled(time - self.suspended_ms),
        };
        self.detector.detect(reading)
    }
}
