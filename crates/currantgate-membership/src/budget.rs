//! Rate limit of control traffic.

use std::time::Instant;

/// Token bucket that limits control traffic, in bytes per second.
///
/// One message may overdraw the bucket, so that a message larger than the burst is
/// not delayed forever; the deficit is refilled before the next message.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_second: u32,
    burst_bytes: u32,
    level: f64,
    updated: Instant,
    spent: u64,
}

impl Budget {
    /// Returns a full bucket with the given settings.
    pub fn new(settings: &currantgate_config::ControlTrafficBudget, now: Instant) -> Self {
        Self {
            bytes_per_second: settings.bytes_per_second,
            burst_bytes: settings.burst_bytes,
            level: f64::from(settings.burst_bytes),
            updated: now,
            spent: 0,
        }
    }

    /// Returns whether a message may be sent at `now`.
    pub fn can_send(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.level > 0.0
    }

    /// Subtracts the bytes of a message that is sent.
    pub fn spend(&mut self, bytes: usize) {
        self.level -= bytes as f64;
        self.spent += bytes as u64;
    }

    /// Returns the total number of bytes sent.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let grown = self.level + elapsed * f64::from(self.bytes_per_second);
        self.level = grown.min(f64::from(self.burst_bytes));
        self.updated = now;
    }
}
