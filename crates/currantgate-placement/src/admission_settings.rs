//! Settings of admission control.

use std::time::Duration;

/// Settings of overload detection and of the flow limit of an overloaded service.
/// See `docs/design/placement.md#more-than-can-be-served`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Fraction of the latency target above which the median flow duration counts
    /// as late. A median leaves half of the flows above it: the other half of the
    /// target is for requests that take longer than most.
    pub late_target_factor: f64,
    /// Multiple of the baseline duration below which the median never counts as
    /// late, whatever the target is: callers may keep flows open on purpose.
    pub late_baseline_factor: f64,
    /// Fraction of the baseline duration below which an ended flow counts as
    /// refused by its upstream. With work times that deviate by half of their mean,
    /// one in five hundred served flows is as short.
    pub refused_baseline_factor: f64,
    /// Number of standard deviations by which arrivals must exceed completions to
    /// count as growth. Equal rates exceed one and a half by chance once in fifteen
    /// times; growth alone is no overload, as the flows must also be late.
    pub growth_std_devs: f64,
    /// Time for which flows must be late and arrivals exceed completions before new
    /// flows are refused. Callers who come back together after an outage all arrive
    /// within a third of a second.
    pub overload_after_growth: Duration,
    /// Time for which flows must be late before new flows are refused without
    /// growth: upstreams that refuse what exceeds their queues hide it. The backlog
    /// of an outage of a second and a half is worked off by then.
    pub overload_after_late: Duration,
    /// Length of the sample window: a few times the latency targets of 120 to 500
    /// ms, so that a burst shows within one of them.
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
    /// Fraction by which the capacity estimate decays at each update: to a half
    /// within two seconds, longer than chance or refusals hold the completions
    /// down.
    pub capacity_decay: f64,
    /// Open flows that an entry may have at an overloaded service beyond the
    /// capacity estimate. That estimate covers half of the way from the baseline to
    /// the bound; at the users' 90 flows a second and entry, the queueing of these
    /// flows makes up the other half.
    pub spare_flows: u32,
    /// Fewest ended flows for which statistics are computed: a median of fewer says
    /// little.
    pub min_samples: usize,
    /// Most samples of each kind that are kept, which bounds memory to 32 bytes
    /// each.
    pub max_samples: usize,
    /// Time for which the flow limit applies after the last sign of overload: half
    /// a window, so that the limit itself does not end it at once.
    pub limit_duration: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            late_target_factor: 0.5,
            late_baseline_factor: 2.0,
            refused_baseline_factor: 0.25,
            growth_std_devs: 1.5,
            overload_after_growth: Duration::from_millis(350),
            overload_after_late: Duration::from_millis(1_500),
            sample_window: Duration::from_secs(1),
            update_interval: Duration::from_millis(50),
            baseline_weight: 0.003,
            baseline_weight_when_late: 0.0003,
            capacity_decay: 0.017,
            spare_flows: 3,
            min_samples: 8,
            max_samples: 256,
            limit_duration: Duration::from_millis(500),
        }
    }
}
