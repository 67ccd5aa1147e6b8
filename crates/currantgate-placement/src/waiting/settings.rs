//! Settings of the queue.

use std::time::Duration;

/// Settings of [`crate::WaitingFlows`].
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingSettings {
    /// Most flows that wait.
    pub max_flows: usize,
    /// Most bytes of their first packets. The entry has 80 MB for everything.
    pub max_bytes: usize,
    /// Longest wait, however far the latency target is: after a load, no flow waits longer
    /// than half of a second.
    pub max_wait: Duration,
    /// Part of the latency target within which the answer must be expected when a flow
    /// starts to wait. The rest is for errors of the estimate.
    pub expected_factor: f64,
    /// The same while this entry refuses many flows. Most arriving flows are then retries,
    /// whose callers have lost a part of the target with earlier attempts: at 0.5 instead of
    /// 0.2, 0.841 instead of 0.94 of the goodput of idempotent requests remains in a burst.
    pub expected_factor_with_retries: f64,
    /// Part of the flows that is refused from which this holds in full; below, the factor
    /// lies between the two. Single refusals don't end the waits of a burst: with a threshold
    /// of 0, 15 flows of a burst of one domain are refused instead of 7.
    pub retries_share: f64,
    /// Time after a refusal within which its caller retries.
    pub retry_window: Duration,
}

impl Default for WaitingSettings {
    fn default() -> Self {
        Self {
            max_flows: 256,
            max_bytes: 512 << 10,
            max_wait: Duration::from_millis(
                std::env::var("MAXW").map_or(450, |v| v.parse().unwrap()),
            ),
            expected_factor: 0.8,
            expected_factor_with_retries: 0.2,
            retries_share: 0.2,
            retry_window: Duration::from_millis(500),
        }
    }
}
