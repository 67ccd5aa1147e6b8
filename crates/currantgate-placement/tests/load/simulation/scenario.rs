//! Simulated scenarios.

/// Policy by which new flows are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// A hash of the flow, regardless of load.
    Hash,
    /// Least load at each entry by its own flows, without refusals.
    LeastLoad,
    /// Least load with admission control by priority, as in this crate.
    Admission,
    /// The same, with what the entries of each domain observe merged and shared.
    Shared,
    /// One queue for all slots, which is the upper bound of any placement.
    OneQueue,
}

/// A simulated site and its load.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    /// Most requests in the queue of an upstream; further ones are shed.
    pub(crate) queue_limit: usize,
    /// Offered load relative to the capacity of all slots.
    pub(crate) load: f64,
    /// Factor of the load in the middle third of the run.
    pub(crate) burst_factor: f64,
    /// Start and end of an outage of all entries, in milliseconds; first packets are
    /// retransmitted.
    pub(crate) outage_ms: (f64, f64),
    /// Upstreams that are twice as slow for the first quarter and report to be cold.
    pub(crate) cold_upstreams: usize,
    /// Upstreams that never answer, with no sign of it in their reports.
    pub(crate) unresponsive_upstreams: usize,
    /// Upstreams that are four times as slow throughout, with no sign of it in their
    /// reports.
    pub(crate) slow_upstreams: usize,
    /// Upstreams, from the first on, that fail half of their requests at once.
    pub(crate) failing_upstreams: usize,
    /// Whether the upstreams of one domain do not answer in the middle third.
    pub(crate) domain_outage: bool,
    /// Share of first packets lost on the network.
    pub(crate) packet_loss: f64,
    /// Most retries of a caller after refusals.
    pub(crate) max_retries: u32,
    pub(crate) seed: u64,
}

impl Scenario {
    /// Returns the users' booking service: 14 upstreams with 3 slots behind 8 entries.
    pub(crate) fn booking(load: f64) -> Self {
        Self {
            entries: 8,
            upstreams: 14,
            slots: 3,
            queue_limit: 12,
            load,
            burst_factor: 1.0,
            outage_ms: (0.0, 0.0),
            cold_upstreams: 0,
            unresponsive_upstreams: 0,
            slow_upstreams: 0,
            failing_upstreams: 0,
            domain_outage: false,
            packet_loss: 0.0,
            max_retries: 2,
            seed: 7,
        }
    }

    /// Returns the users' larger site: 120 upstreams with 2 slots behind 73 entries.
    pub(crate) fn grown(load: f64) -> Self {
        Self {
            entries: 73,
            upstreams: 120,
            slots: 2,
            ..Self::booking(load)
        }
    }

    /// Returns the users' largest site: 480 upstreams with 2 slots behind 294 entries.
    pub(crate) fn large(load: f64) -> Self {
        Self {
            entries: 294,
            upstreams: 480,
            slots: 2,
            ..Self::booking(load)
        }
    }
}
