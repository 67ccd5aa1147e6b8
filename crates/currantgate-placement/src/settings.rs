//! Settings of placement.

use std::time::Duration;

use crate::AdmissionSettings;

/// Settings of [`crate::Placement`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Seeds the choice among equals.
    pub seed: u64,
    /// The share of its usual speed that a cold upstream is counted with, until
    /// it says that it is warm.
    pub cold_speed_factor: f64,
    /// What a hop to another failure domain counts, in flows a slot: the delay
    /// of the hop over the usual time of a request, with the price of the bytes.
    pub remote_domain_penalty: f64,
    /// What one flow weighs in how slow its upstream counts: a few dozen flows
    /// tell, as the work of single ones spreads by half.
    pub slowness_weight: f64,
    /// The most that an upstream counts as slower than usual, and what a flow
    /// counts that failed there: few go there while others are free.
    pub max_slowness: f64,
    /// How much of it is forgotten a second: an upstream that was four times as
    /// slow is tried again within eight.
    pub slowness_decay_per_second: f64,
    /// How long an upstream that left a first packet unanswered is avoided; it
    /// doubles each time in a row. It is about the time that a caller takes to
    /// repeat a first packet.
    pub base_suspicion_time: Duration,
    /// The most times that the time of avoidance is doubled.
    pub max_suspicion_doublings: u32,
    /// Which new flows a service has room for.
    pub admission: AdmissionSettings,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            cold_speed_factor: 0.6,
            remote_domain_penalty: 0.1,
            slowness_weight: 0.1,
            slowness_decay_per_second: 0.4,
            max_slowness: 8.0,
            base_suspicion_time: Duration::from_millis(500),
            max_suspicion_doublings: 4,
            admission: AdmissionSettings::default(),
        }
    }
}
