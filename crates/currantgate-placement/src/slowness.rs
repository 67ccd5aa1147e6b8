//! Slowness of an upstream in comparison with its service.

use std::time::Instant;

use crate::PlacementSettings;

/// Moving average of how much longer flows last at an upstream than at its service
/// as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowness {
    /// Average ratio of durations at the last update, less 1.
    excess: f64,
    /// Time of the last update.
    updated_at: Option<Instant>,
}

impl Slowness {
    /// Returns the ratio of a flow's duration there to the reference duration, at
    /// least 1.
    ///
    /// It decays with time, as an upstream that is avoided gives no new samples.
    pub(crate) fn factor(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let decay = settings.slowness_decay_per_second * age.unwrap_or_default().as_secs_f64();
        1.0 + (self.excess - decay).max(0.0)
    }

    /// Records the slowness of an ended flow, as [`flow_slowness`] returns it.
    pub(crate) fn record(&mut self, now: Instant, sample: f64, settings: &PlacementSettings) {
        let before = self.factor(now, settings);
        let weight = settings.slowness_weight;
        let after = before * (1.0 - weight) + sample * weight;
        self.excess = (after - 1.0).max(0.0);
        self.updated_at = Some(now);
    }
}

/// Returns the slowness that an ended flow counts with, from the ratio of its duration
/// to the reference duration.
///
/// A flow that ended far too early was refused or failed and counts as slow: otherwise
/// an upstream that fails at once would attract all flows.
pub(crate) fn flow_slowness(duration_ratio: f64, settings: &PlacementSettings) -> f64 {
    if duration_ratio < settings.admission.refused_baseline_factor {
        settings.max_slowness
    } else {
        duration_ratio.min(settings.max_slowness)
    }
}
