//! Observations of one entry until it reports them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::map::Entry;

use crate::{Observation, UpstreamKey};

/// Most upstreams in one report, which bounds it to 420 bytes.
const MAX_REPORTED: usize = 32;

/// Observations of one entry since its last report.
#[derive(Clone, Debug, Default)]
pub struct ObservationLog {
    observations: IndexMap<UpstreamKey, Observation>,
}

impl ObservationLog {
    /// Records a flow that ended at an upstream, with how many times longer than
    /// usual it lasted, and its duration divided by the upstream's slots.
    ///
    /// Flows at further upstreams are not recorded once a report is full: an entry
    /// with so many flows learns most by itself.
    pub fn record(&mut self, key: UpstreamKey, slowness: f64, busy: Duration) {
        let is_full = self.observations.len() >= MAX_REPORTED;
        let observation = match self.observations.entry(key) {
            Entry::Vacant(_) if is_full => return,
            entry => entry.or_insert(Observation {
                key,
                flows: 0,
                slowness_sum: 0.0,
                busy_ms: 0,
            }),
        };
        observation.flows = observation.flows.saturating_add(1);
        observation.slowness_sum += slowness as f32;
        let busy_ms = u32::try_from(busy.as_millis()).unwrap_or(u32::MAX);
        observation.busy_ms = observation.busy_ms.saturating_add(busy_ms);
    }

    /// Returns and removes all observations.
    pub fn take(&mut self) -> Vec<Observation> {
        self.observations.drain(..).map(|(_, seen)| seen).collect()
    }
}
