//! Settings of placement.

use std::time::Duration;

/// Settings of [`crate::Placement`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Seeds the choice among equals.
    pub seed: u64,
    /// The share of its usual speed that a cold upstream is counted with, until
    /// it says that it is warm.
    pub cold_speed: f64,
    /// What a hop to another failure domain counts, in flows a slot: the delay
    /// of the hop over the usual time of a request, with the price of the bytes.
    pub far_penalty: f64,
    /// How long an upstream that left a first packet unanswered is avoided; it
    /// doubles each time in a row. It is about the time that a caller takes to
    /// repeat a first packet.
    pub suspect_for: Duration,
    /// The most times that the time of avoidance is doubled.
    pub max_doublings: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            cold_speed: 0.6,
            far_penalty: 0.1,
            suspect_for: Duration::from_millis(500),
            max_doublings: 4,
        }
    }
}
