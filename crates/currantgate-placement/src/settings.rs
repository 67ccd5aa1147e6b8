//! Settings of placement.

use std::time::Duration;

use crate::{AdmissionSettings, DemandSettings, DomainPreferenceSettings, SharingSettings};

/// Settings of [`crate::Placement`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Seed of the random choice among equal upstreams.
    pub seed: u64,
    /// Speed of an upstream that is still warming up, relative to a warm one.
    pub cold_speed_factor: f64,
    /// Load added for an upstream in another failure domain, in flows per slot: the
    /// delay of the hop over the usual duration of a request, plus the cost of the
    /// traffic.
    pub remote_domain_penalty: f64,
    /// Weight of one flow in the slowness of its upstream. The work of single flows
    /// deviates by half of its mean, so that it takes a few dozen flows to tell.
    pub slowness_weight: f64,
    /// Upper bound of the slowness, and the value recorded for a failed flow. Few
    /// flows go to an upstream at the bound while others are free.
    pub max_slowness: f64,
    /// Decrease of the slowness per second: an upstream that was four times as slow
    /// is tried again within eight seconds.
    pub slowness_decay_per_second: f64,
    /// Share of the flows that are placed without regard to what other entries
    /// observe, so that the fleet notices when a slow upstream has recovered.
    pub probe_share: f64,
    /// Time for which an upstream is avoided after an unanswered first packet; it
    /// doubles with each consecutive one. It is about the time after which a caller
    /// retransmits a first packet.
    pub base_suspicion_time: Duration,
    /// Most times that the time of avoidance is doubled.
    pub max_suspicion_doublings: u32,
    /// Settings of admission control.
    pub admission: AdmissionSettings,
    /// Settings of the preference of the own failure domain.
    pub domain_preference: DomainPreferenceSettings,
    /// Settings of the demand of all entries. Without them, an entry decides by its own
    /// flows alone.
    pub demand: Option<DemandSettings>,
    /// Settings of decisions by the demand of all entries.
    pub sharing: SharingSettings,
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
            probe_share: 0.05,
            base_suspicion_time: Duration::from_millis(500),
            max_suspicion_doublings: 4,
            admission: AdmissionSettings::default(),
            domain_preference: DomainPreferenceSettings::default(),
            demand: None,
            sharing: SharingSettings::default(),
        }
    }
}
