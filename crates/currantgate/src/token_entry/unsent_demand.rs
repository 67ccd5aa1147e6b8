//! The demand of an entry's callers that was not reported yet.

use std::time::{Duration, Instant};

use currantgate_capacity::ServiceDemand;

/// The demand of an entry's callers that was not reported yet.
#[derive(Debug)]
pub struct UnsentDemand {
    since: Instant,
    demand: Vec<ServiceDemand>,
}

impl UnsentDemand {
    /// Returns no demand, from `now` on.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            demand: Vec::new(),
        }
    }

    /// Adds the demand since the last call.
    pub fn add(&mut self, demand: Vec<ServiceDemand>) {
        for service in demand {
            let mut known = self.demand.iter_mut();
            match known.find(|s| s.service == service.service) {
                Some(known) => known.add_flows(&service, 1.0),
                None => self.demand.push(service),
            }
        }
    }

    /// Returns the demand.
    pub fn demand(&self) -> &[ServiceDemand] {
        &self.demand
    }

    /// Returns the period that the demand covers.
    pub fn period(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
