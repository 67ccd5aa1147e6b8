//! Settings of admission control.

use std::time::Duration;

use crate::FlowWindowSettings;

/// Settings of admission control by an entry's own flows. See `docs/design/admission.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Whether new flows are limited.
    pub is_enabled: bool,
    /// Window of open flows.
    pub window: FlowWindowSettings,
    /// Fraction of the latency target above which a flow counts as late. The other part
    /// of the target is for requests that take longer than most, and for callers who were
    /// refused before.
    pub late_target_factor: f64,
    /// Multiple of the baseline duration below which no flow counts as late, however short
    /// the target is: the work of single requests differs that much.
    pub late_baseline_factor: f64,
    /// Multiple of the baseline duration above which a flow counts as late, however long
    /// the target is. Longer queues keep no more slots busy, and upstreams shed what waits
    /// there for long.
    pub long_queue_factor: f64,
    /// Multiple of the latency target from which a baseline duration shows that callers
    /// keep flows open on purpose. Durations tell nothing about queues then, and flows are
    /// not limited.
    pub kept_open_factor: f64,
    /// Fraction of the baseline duration below which an ended flow counts as
    /// refused by its upstream. With work times that deviate by half of their mean,
    /// one in five hundred served flows is as short.
    pub refused_baseline_factor: f64,
    /// Length of the sample window of the median duration: a few times the latency
    /// targets of 120 to 500 ms.
    pub sample_window: Duration,
    /// Interval at which the statistics are updated: a small part of the window.
    pub update_interval: Duration,
    /// Weight of a longer median in the baseline at each update: the baseline
    /// follows within a quarter of a minute.
    pub baseline_weight: f64,
    /// The same weight while the median is above `late_baseline_factor` times the
    /// baseline: the baseline follows within three minutes, which is longer than a
    /// burst and in time for callers who keep flows open from now on.
    pub baseline_weight_when_late: f64,
    /// The same weight while the window of open flows is at its minimum: flows hardly wait
    /// for each other then, and a median above the baseline shows that this is too short.
    pub baseline_weight_when_minimal: f64,
    /// Fewest ended flows for which statistics are computed: a median of fewer says
    /// little.
    pub min_samples: usize,
    /// Most samples of each kind that are kept, which bounds memory to 32 bytes
    /// each.
    pub max_samples: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            is_enabled: true,
            window: FlowWindowSettings::default(),
            late_target_factor: 0.4,
            late_baseline_factor: 1.5,
            long_queue_factor: 2.6,
            kept_open_factor: 2.0,
            refused_baseline_factor: 0.25,
            sample_window: Duration::from_secs(1),
            update_interval: Duration::from_millis(50),
            baseline_weight: 0.003,
            baseline_weight_when_late: 0.0003,
            baseline_weight_when_minimal: 0.1,
            min_samples: 8,
            max_samples: 256,
        }
    }
}
