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
    /// The same from `overload` on. Most arriving flows are then retries, whose callers have
    /// lost a part of the target with earlier attempts.
    pub overload_expected_factor: f64,
    /// Demand of the fleet relative to its slots up to which `expected_factor` holds. It
    /// includes retries: if each refused flow returns twice, first attempts exceed the slots
    /// by 0.01 at 1.25.
    pub full_load: f64,
    /// Demand from which `overload_expected_factor` holds; between the two, the factor lies
    /// between both.
    pub overload: f64,
}

impl Default for WaitingSettings {
    fn default() -> Self {
        Self {
            max_flows: 256,
            max_bytes: 512 << 10,
            max_wait: Duration::from_millis(450),
            expected_factor: 0.7,
            overload_expected_factor: 0.15,
            full_load: 1.25,
            overload: 1.35,
        }
    }
}
