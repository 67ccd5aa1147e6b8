//! What the dispatcher keeps for one service.

use std::time::Instant;

use currantgate_config::UpstreamId;
use indexmap::IndexSet;

use crate::Settings;
use crate::decaying_average::DecayingAverage;
use crate::queue::Queue;
use crate::retry_budget::RetryBudget;

/// What the dispatcher keeps for one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) queue: Queue,
    pub(crate) retries: RetryBudget,
    /// The mean time for which an attempt holds its slot.
    pub(crate) slot_time: DecayingAverage,
    /// The mean time from sending an attempt to the head of its answer.
    pub(crate) answer_time: DecayingAverage,
    /// Upstreams that may take new work.
    pub(crate) upstreams: IndexSet<UpstreamId>,
}

impl Service {
    /// Returns a service without upstreams.
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let latency = DecayingAverage::new(now, settings.latency_half_life);
        Self {
            queue: Queue::default(),
            retries: RetryBudget::new(settings),
            slot_time: latency,
            answer_time: latency,
            upstreams: IndexSet::new(),
        }
    }
}
