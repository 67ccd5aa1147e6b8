//! Settings of decisions by the demand of all entries.

use std::time::Duration;

/// Settings of domain choice and admission by the demand of all entries. See
/// `docs/design/capacity.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct SharingSettings {
    /// Interval at which shares are computed again while flows arrive.
    pub update_interval: Duration,
    /// Time over which an entry's own arrivals are compared with the published figures.
    pub change_window: Duration,
    /// Standard deviations from which a difference begins to count as a change; one more
    /// and it counts in full.
    pub change_std_devs: f64,
    /// Mean age of the arrivals in published figures: half of the interval between
    /// reports, and the time until the collector publishes them.
    pub figures_delay: Duration,
    /// Time over which the figures are averaged.
    pub figures_window: Duration,
    /// Weight of one comparison with the other entries in the relative demand.
    pub relative_demand_weight: f64,
    /// Slowness from which the slots of an upstream don't count: it leaves first packets
    /// unanswered or fails many flows. One that is four times as slow still counts.
    pub dead_slowness: f64,
    /// Share of the flows that are placed without regard to the slowness of upstreams. It
    /// is lower than without shares, as probes of dead upstreams take the callers' time
    /// under high load.
    pub probe_share: f64,
    /// Load added for upstreams of which no slot is reserved for this entry, in flows
    /// per slot.
    pub unreserved_penalty: f64,
    /// Fraction of the latency target within which half of the admitted flows are expected
    /// to end. A median leaves half of the flows above it: the other half of the target is
    /// for requests that take longer than most.
    pub late_target_factor: f64,
    /// Open flows per slot that admitted flows may reach over the whole fleet, those
    /// that wait in queues included.
    pub flows_per_slot: f64,
    /// Factor of the fleet's capacity that demand must exceed. The work of a flow is
    /// overestimated by a ninth when it was measured at 90 % load only, and demand varies
    /// by chance.
    pub capacity_margin: f64,
    /// Flows that may be refused for each one that exceeds the fleet's capacity. More
    /// than one makes up for figures that lag while demand grows.
    pub excess_factor: f64,
    /// Most flows beyond the capacity that are refused later.
    pub max_excess: f64,
    /// Mean slot time, as a multiple of the work, from which queues count as long.
    pub long_queue_factor: f64,
    /// Fewest slot times within the change window for which this is judged.
    pub min_slot_times: usize,
    /// Most slot times that are kept.
    pub max_slot_times: usize,
}

impl Default for SharingSettings {
    fn default() -> Self {
        Self {
            update_interval: Duration::from_millis(50),
            change_window: Duration::from_millis(300),
            change_std_devs: 2.0,
            figures_delay: Duration::from_millis(250),
            figures_window: Duration::from_secs(1),
            relative_demand_weight: 0.05,
            dead_slowness: 4.6,
            probe_share: 0.02,
            unreserved_penalty: 2.0,
            late_target_factor: 0.5,
            flows_per_slot: 2.6,
            capacity_margin: 1.2,
            excess_factor: 1.1,
            max_excess: 4.0,
            long_queue_factor: 2.0,
            min_slot_times: 6,
            max_slot_times: 32,
        }
    }
}
