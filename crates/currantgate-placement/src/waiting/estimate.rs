//! Estimate of how long a flow waits.

use std::time::Duration;

use super::WaitingSettings;

/// What an entry knows about the time that its flows take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// Mean time between the ends of the entry's flows while it is at its limit.
    pub interval: Duration,
    /// Time since a flow has ended. Upstreams that stop completing flows show here first.
    pub since_last_end: Duration,
    /// Usual time from the first packet to the end of a flow that is placed.
    pub time_at_upstream: Duration,
    /// Part of the placed flows whose priority is higher than that of the flow.
    pub higher_share: f64,
}

impl WaitEstimate {
    /// Returns the expected wait of a flow with `ahead` flows before it in the queue.
    /// Flows of higher priority that arrive later go first, too.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let rate_left = (1.0 - self.higher_share).max(0.05);
        let queue_time = self.interval.mul_f64((ahead as f64 + 1.0) / rate_left);
        queue_time + self.since_last_end.saturating_sub(self.interval)
    }

    /// Returns the longest wait after which the flow is expected to be answered within its
    /// latency target.
    pub fn max_wait(&self, latency_target: Duration, settings: &WaitingSettings) -> Duration {
        let left = latency_target.saturating_sub(self.time_at_upstream);
        left.min(settings.max_wait)
    }

    /// Tells whether a flow with `ahead` flows before it is expected to be answered within
    /// a part of its latency target.
    pub fn is_in_time(&self, ahead: usize, target_part: Duration) -> bool {
        self.expected_wait(ahead) + self.time_at_upstream <= target_part
    }
}
