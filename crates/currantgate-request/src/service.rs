//! State of one service.

use std::time::Instant;

use currantgate_config::UpstreamId;
use indexmap::IndexSet;

use crate::Settings;
use crate::decaying_average::DecayingAverage;
use crate::queue::Queue;
use crate::retry_budget::RetryBudget;

/// State that the dispatcher keeps for one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) queue: Queue,
    pub(crate) retry_budget: RetryBudget,
    /// Mean time from sending an attempt to the end of its response, when it frees its slot.
    pub(crate) slot_hold_time: DecayingAverage,
    /// Mean time from sending an attempt to the head of its response.
    pub(crate) response_time: DecayingAverage,
    /// Upstreams that may get new attempts.
    pub(crate) upstreams: IndexSet<UpstreamId>,
}

impl Service {
    /// Returns a service without upstreams.
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let latency = DecayingAverage::new(now, settings.latency_half_life);
        Self {
            queue: Queue::default(),
            retry_budget: RetryBudget::new(settings),
            slot_hold_time: latency,
            response_time: latency,
            upstreams: IndexSet::new(),
        }
    }
}
