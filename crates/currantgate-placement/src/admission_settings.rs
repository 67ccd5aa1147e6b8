//! Settings of admission.

use std::time::Duration;

/// Settings of what makes a service overloaded, and of how many new flows it
/// gets then. See `docs/design/placement.md#more-than-can-be-served`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// A service answers late when half of its flows are open for longer than
    /// this part of the latency target: the other half of the target is for
    /// requests that take longer than most.
    pub late_target_factor: f64,
    /// It doesn't while they are open for less than this many times the usual,
    /// whatever the target is: callers may keep flows open on purpose.
    pub late_baseline_factor: f64,
    /// A flow that ends within this part of the usual time was refused by its
    /// upstream: of works that spread by half, one in five hundred is as short.
    pub refused_baseline_factor: f64,
    /// How many standard deviations more must be asked for than end to count as
    /// more than chance: one and a half, exceeded by chance once in fifteen times.
    /// Upstreams that are asked for more than they do are late as well.
    pub growth_std_devs: f64,
    /// For how long more must be asked for than is worked off in time before
    /// flows are refused: callers who come back together after an outage are
    /// all there within a third of a second.
    pub overload_after_growth: Duration,
    /// For how long flows must be open too long before flows are refused although
    /// no growth shows: upstreams that refuse what they can't hold hide it, and
    /// what gathers in an outage of a second and a half is worked off by then.
    pub overload_after_late: Duration,
    /// How far back flows count: a few times the latency targets of 120
    /// to 500 ms, so that a burst shows within one of them.
    pub sample_window: Duration,
    /// After how long the pace is worked out anew: a small part of the window.
    pub update_interval: Duration,
    /// What a new pace weighs in the usual one, at each refresh: the usual one
    /// follows within a quarter of a minute.
    pub baseline_weight: f64,
    /// The same while the pace is far beyond the usual one, which follows within
    /// three minutes: longer than a burst, and in time for callers who keep
    /// flows open from now on.
    pub baseline_weight_when_late: f64,
    /// By what part the most that a service was seen to work off fades at each
    /// refresh: to a half within two seconds, longer than chance or refusals
    /// hold it down.
    pub capacity_decay: f64,
    /// How many flows an entry may have open at an overloaded service beyond what
    /// it is seen to work off: with the users' 90 flows a second and entry, they
    /// wait for the other half of the way from the usual time to the bound.
    pub spare_flows: u32,
    /// The fewest ended flows that tell a pace: with fewer a median says little.
    pub min_samples: usize,
    /// The most flows of each kind that are kept, which bounds memory to 32 bytes
    /// each.
    pub max_samples: usize,
    /// For how long flows are refused after a service was last seen overloaded:
    /// half a window, so that the limit itself does not end it at once.
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
