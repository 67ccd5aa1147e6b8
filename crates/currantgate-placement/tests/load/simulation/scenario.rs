//! What is played.

/// How new flows are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// A hash of the flow: any upstream, whatever its load.
    Hash,
    /// Each entry by the flows that it sees itself, without refusing any.
    LeastLoad,
    /// This crate: least load, and refusals by priority under overload.
    Admission,
    /// One queue for all slots, which no placement can better.
    OneQueue,
}

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    /// Requests that wait at an upstream; further ones are refused there.
    pub(crate) queue_limit: usize,
    /// Offered work over the work that all slots can do.
    pub(crate) load: f64,
    /// What the load is multiplied by in the middle third.
    pub(crate) burst_factor: f64,
    /// Nothing is served in this time; first packets are repeated.
    pub(crate) outage_ms: (f64, f64),
    /// How many upstreams are twice as slow for the first quarter and say so.
    pub(crate) cold_upstreams: usize,
    /// How many upstreams answer nothing, and don't say so.
    pub(crate) unresponsive_upstreams: usize,
    /// How many upstreams are four times as slow all the time, and don't say so.
    pub(crate) slow_upstreams: usize,
    /// Whether the upstreams of one domain answer nothing in the middle third.
    pub(crate) domain_outage: bool,
    /// The share of first packets that are lost on the way.
    pub(crate) packet_loss: f64,
    /// How many times a caller asks again after a refusal.
    pub(crate) max_retries: u32,
    pub(crate) seed: u64,
}

impl Scenario {
    /// Returns the users' bookings: 14 upstreams with 3 slots behind 8 entries.
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
            domain_outage: false,
            packet_loss: 0.0,
            max_retries: 2,
            seed: 7,
        }
    }

    /// Returns the same after it has grown: 120 upstreams with 2 slots behind 73
    /// entries.
    pub(crate) fn grown(load: f64) -> Self {
        Self {
            entries: 73,
            upstreams: 120,
            slots: 2,
            ..Self::booking(load)
        }
    }
}
