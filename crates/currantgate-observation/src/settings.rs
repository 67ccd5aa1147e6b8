//! Settings of the merged observations.

use std::time::Duration;

/// Settings of [`crate::FleetObservations`].
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Weight of one flow in the mean slowness of its upstream.
    pub flow_weight: f64,
    /// Interval at which reports are merged: half of a second holds one of each entry.
    pub update_interval: Duration,
    /// Most flows of one report that count for an upstream, so that a single entry
    /// can't outweigh the others.
    pub max_flows_per_report: u16,
    /// Time in which flows may replace the mean at most once, however many there are.
    /// The queue of a healthy upstream under high load is long for a shorter time.
    pub averaging_time: Duration,
    /// Highest weight of flows that are reported together after a pause.
    pub max_burst_weight: f64,
    /// Highest slowness that a flow counts with.
    pub max_slowness: f64,
    /// Excess over the median upstream from which an upstream is slow. The work of
    /// single flows deviates by half of its mean.
    pub slow_excess: f64,
    /// Number of median deviations of all upstreams that the excess must reach, too:
    /// under high load all have queues now and then.
    pub slow_deviations: f64,
    /// Share of the slots in use from which the excess must be larger: the time in a
    /// queue grows with the inverse of the share that is free.
    pub high_load: f64,
    /// Highest share of the slots in use that this is done for.
    pub max_load: f64,
    /// Slowness from which an upstream is slow, whatever the others and the load are; none
    /// by default.
    pub dead_slowness: f64,
    /// Share of this excess below which an upstream is no longer slow.
    pub normal_share: f64,
    /// Slowness with which an entry's observation counts as a finding.
    pub finding_slowness: f64,
    /// Number of entries that must find an upstream slow. A single one may have a
    /// bad link of its own.
    pub min_reporters: usize,
    /// Time for which a reported unanswered first packet counts.
    pub unanswered_lifetime: Duration,
    /// Part of the usual flows of that time that must be unanswered. Single packets are
    /// lost on the network.
    pub unanswered_share: f64,
    /// Time after which answered flows that are reported show that an unresponsive upstream
    /// answers again. Those that are reported earlier may have been answered before: a
    /// report covers 500 ms, and a first packet is unanswered for 200 ms.
    pub answer_delay: Duration,
    /// Least time between two lists, however many upstreams are found unresponsive.
    pub min_list_interval: Duration,
    /// Time for which an entry's finding counts.
    pub finding_lifetime: Duration,
    /// Time in which the excess of a mean over 1 falls to a third without new flows,
    /// as few flows go to a slow upstream.
    pub fade_time: Duration,
    /// Time without flows after which an upstream is forgotten.
    pub forget_after: Duration,
    /// Most upstreams that are told to entries, the slowest first.
    pub max_listed: usize,
    /// Most upstreams that are kept.
    pub max_upstreams: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            flow_weight: 0.1,
            update_interval: Duration::from_millis(500),
            max_flows_per_report: 4,
            averaging_time: Duration::from_secs(2),
            max_burst_weight: 0.4,
            max_slowness: 8.0,
            slow_excess: 0.8,
            slow_deviations: 4.0,
            high_load: 0.6,
            max_load: 0.9,
            dead_slowness: f64::INFINITY,
            normal_share: 0.45,
            finding_slowness: 1.8,
            min_reporters: 2,
            unanswered_lifetime: Duration::from_millis(500),
            unanswered_share: 0.2,
            answer_delay: Duration::from_millis(1_000),
            min_list_interval: Duration::from_millis(100),
            finding_lifetime: Duration::from_secs(10),
            fade_time: Duration::from_secs(15),
            forget_after: Duration::from_secs(60),
            max_listed: 256,
            max_upstreams: 100_000,
        }
    }
}

impl FleetSettings {
    /// Returns the settings for entries that measure slowness by the work of a flow
    /// instead of the usual duration at the moment, as those that know the demand of all
    /// entries do.
    ///
    /// Times in queues are then left out under any load, so that slow upstreams differ
    /// from the others in overload, too. Only unanswered first packets and failures reach
    /// `dead_slowness`; the usual slowness is that of dead upstreams when half are dead.
    pub fn with_demand() -> Self {
        Self {
            dead_slowness: 3.5,
            slow_excess: 0.5,
            max_load: 0.6,
            ..Self::default()
        }
    }
}
