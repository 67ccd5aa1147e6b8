//! Flows whose first packets an entry at its limit has dropped.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ahash::AHashMap;

use crate::FlowId;

/// Time after which callers have abandoned an attempt.
const ATTEMPT_TIME: Duration = Duration::from_millis(1_400);

/// Most flows that are remembered, about 300 KB. Copies of others are placed.
const MAX_FLOWS: usize = 4_096;

/// Flows whose first packets were dropped, until their callers have abandoned them.
///
/// Only these have certainly not been placed by this entry. Without them, each dropped
/// flow would be placed when its caller retransmits, and dropping would only delay the load.
#[derive(Debug, Default)]
pub(super) struct DroppedFlows {
    flows: AHashMap<FlowId, Instant>,
    /// The flows by the end of their time.
    ends: VecDeque<(Instant, FlowId)>,
}

impl DroppedFlows {
    pub(super) fn insert(&mut self, now: Instant, flow: FlowId) {
        self.expire(now);
        if self.ends.len() < MAX_FLOWS && !self.flows.contains_key(&flow) {
            let end = now + ATTEMPT_TIME;
            self.flows.insert(flow, end);
            self.ends.push_back((end, flow));
        }
    }

    pub(super) fn contains(&mut self, now: Instant, flow: &FlowId) -> bool {
        self.expire(now);
        self.flows.contains_key(flow)
    }

    pub(super) fn remove(&mut self, flow: &FlowId) {
        self.flows.remove(flow);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((end, flow)) = self.ends.front()
            && *end <= now
        {
            // A flow may have been inserted again since.
            if self.flows.get(flow) == Some(end) {
                self.flows.remove(flow);
            }
            self.ends.pop_front();
        }
    }
}
