//! The slowness from which an upstream counts as slow.

use crate::FleetSettings;

/// The slowness from which an upstream counts as slow, by that of all upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Threshold {
    /// An upstream becomes slow at this slowness.
    pub(crate) slow_above: f64,
    /// It stays so down to this one, so that it does not change with every flow.
    pub(crate) normal_below: f64,
}

impl Threshold {
    /// Derives the threshold from the slowness of all upstreams.
    ///
    /// `load` is the mean share of slots in use, weighted by flows. Medians represent the
    /// usual spread even while up to half of the upstreams are slow.
    pub(crate) fn new(slownesses: &[f64], load: f64, settings: &FleetSettings) -> Self {
        let usual = median(slownesses.to_vec());
        let deviations = slownesses.iter().map(|slowness| (slowness - usual).abs());
        let spread = settings.slow_deviations * median(deviations.collect());
        let load = load.clamp(settings.high_load, settings.max_load);
        let queueing = (1.0 - settings.high_load) / (1.0 - load);
        let excess = (settings.slow_excess * queueing).max(spread);
        let slow_above = usual + excess;
        let normal_below = usual + excess * settings.normal_share;
        // With half of the upstreams dead, the usual slowness is that of dead ones.
        let dead = settings.dead_slowness;
        Self {
            slow_above: slow_above.min(dead),
            normal_below: normal_below.min(dead * settings.normal_share),
        }
    }
}

/// Returns the median, or 1 without values.
fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 1.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
