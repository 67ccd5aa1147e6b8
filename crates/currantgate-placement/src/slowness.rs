//! How much slower than its like an upstream is.

use std::time::Instant;

use crate::PlacementSettings;

/// How much slower an upstream is than what is usual at its service, by how long
/// flows are open there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowness {
    /// By how many times the usual flows are open longer there.
    beyond: f64,
    /// When that was last worked out.
    at: Option<Instant>,
}

impl Slowness {
    /// Returns how many times as long as usual a flow is open there, 1 at least.
    ///
    /// It fades, as an upstream that is avoided shows no more how fast it is.
    pub(crate) fn times_usual(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let faded = settings.slowness_decay_per_second * age.unwrap_or_default().as_secs_f64();
        1.0 + (self.beyond - faded).max(0.0)
    }

    /// Notes how long a flow was open, in times the usual.
    ///
    /// One that ended far too early was refused or failed, which is no sign of
    /// speed: without that, an upstream that fails at once would draw all flows.
    pub(crate) fn note(&mut self, now: Instant, times_usual: f64, settings: &PlacementSettings) {
        let has_failed = times_usual < settings.admission.refused_baseline_factor;
        let counted = if has_failed {
            settings.max_slowness
        } else {
            times_usual.min(settings.max_slowness)
        };
        let before = self.times_usual(now, settings);
        let part = settings.slowness_weight;
        let after = before * (1.0 - part) + counted * part;
        self.beyond = (after - 1.0).max(0.0);
        self.at = Some(now);
    }
}
