//! Stand-ins for the decisions on demand, to be replaced by those of their own part.

use std::time::Instant;

use currantgate_capacity::{ClassDemand, DomainDemand, ServiceDemand};
use indexmap::IndexMap;

use crate::{Placement, Priority, ServiceShares};

/// Arrivals since the last report.
#[derive(Debug, Default)]
pub(crate) struct DemandLog {
    services: IndexMap<Box<str>, IndexMap<Priority, u16>>,
}

impl DemandLog {
    pub(crate) fn record(&mut self, service: &str, priority: Priority) {
        let classes = self.services.entry(service.into()).or_default();
        *classes.entry(priority).or_default() += 1;
    }
}

impl Placement {
    /// Returns and removes the demand since the last call.
    pub fn take_demand(&mut self) -> Vec<ServiceDemand> {
        let services = std::mem::take(&mut self.demand.services);
        let to_demand = |(service, classes): (_, IndexMap<Priority, u16>)| {
            let total: u16 = classes.values().sum();
            let classes = classes.into_iter().map(|(priority, count)| ClassDemand {
                priority,
                arrivals: f32::from(count),
            });
            ServiceDemand {
                service,
                classes: classes.collect(),
                completions: f32::from(total),
                slot_ms: f32::from(total) * 20.0,
            }
        };
        services.into_iter().map(to_demand).collect()
    }

    /// Applies the demand of a failure domain.
    pub fn update_demand(&mut self, _now: Instant, demand: &DomainDemand) {
        for service in demand.services.iter().map(|s| &*s.service) {
            let targets = self.candidates.values().map(|c| &c.target);
            let mut domains: IndexMap<Box<str>, f64> = IndexMap::new();
            for target in targets.filter(|t| &*t.service == service) {
                *domains.entry(target.domain.clone()).or_default() += f64::from(target.slots);
            }
            let sum: f64 = domains.values().sum();
            domains.values_mut().for_each(|slots| *slots /= sum);
            let shares = ServiceShares {
                domains,
                fleet_capacity: sum * 50.0,
                own_share: 1.0,
                ..ServiceShares::default()
            };
            self.set_shares(service, Some(shares));
        }
    }

    /// Returns how new flows of a service are divided among failure domains.
    pub fn shares(&self, service: &str) -> Option<&ServiceShares> {
        self.services.get(service)?.shares.as_ref()
    }
}
