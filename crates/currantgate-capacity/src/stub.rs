//! Stand-ins for the decisions on demand, to be replaced by those of their own part.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{ClassDemand, DomainDemand, ServiceDemand};

/// Settings of [`DemandCollector`].
#[derive(Clone, Debug, PartialEq)]
pub struct CollectorSettings {
    /// Time for which the report of an entry counts.
    pub report_lifetime: Duration,
}

impl Default for CollectorSettings {
    fn default() -> Self {
        Self {
            report_lifetime: Duration::from_millis(1_500),
        }
    }
}

/// Settings of the division of demand among failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSettings {}

#[derive(Clone, Debug)]
struct Reporter {
    domain: Box<str>,
    reported_at: Instant,
    expires: Instant,
    demand: Vec<ServiceDemand>,
}

/// Merges the demand that entries report.
#[derive(Clone, Debug)]
pub struct DemandCollector {
    settings: CollectorSettings,
    reporters: IndexMap<u64, Reporter>,
}

impl DemandCollector {
    /// Returns a collector without reports.
    pub fn new(settings: CollectorSettings) -> Self {
        Self {
            settings,
            reporters: IndexMap::new(),
        }
    }

    /// Adds the report of an entry.
    pub fn record(&mut self, now: Instant, reporter: u64, domain: &str, report: &[ServiceDemand]) {
        let before = self.reporters.get(&reporter);
        let period = before.map_or(0.5, |r| (now - r.reported_at).as_secs_f32().max(0.1));
        let demand = report.iter().map(|demand| ServiceDemand {
            service: demand.service.clone(),
            classes: demand
                .classes
                .iter()
                .map(|class| ClassDemand {
                    arrivals: class.arrivals / period,
                    ..*class
                })
                .collect(),
            completions: demand.completions / period,
            slot_ms: demand.slot_ms / period,
        });
        let reporter_state = Reporter {
            domain: domain.into(),
            reported_at: now,
            expires: now + self.settings.report_lifetime,
            demand: demand.collect(),
        };
        self.reporters.insert(reporter, reporter_state);
    }

    /// Returns the demand of each domain.
    pub fn published(&mut self, now: Instant) -> Vec<DomainDemand> {
        self.reporters.retain(|_, reporter| now < reporter.expires);
        let mut domains: IndexMap<Box<str>, DomainDemand> = IndexMap::new();
        for reporter in self.reporters.values() {
            let domain = domains
                .entry(reporter.domain.clone())
                .or_insert_with(|| DomainDemand {
                    domain: reporter.domain.clone(),
                    entries: 0,
                    services: Vec::new(),
                });
            domain.entries += 1;
            for demand in &reporter.demand {
                add(&mut domain.services, demand);
            }
        }
        domains.into_values().collect()
    }
}

fn add(services: &mut Vec<ServiceDemand>, demand: &ServiceDemand) {
    let known = services.iter_mut().find(|s| s.service == demand.service);
    let Some(sum) = known else {
        services.push(demand.clone());
        return;
    };
    sum.completions += demand.completions;
    sum.slot_ms += demand.slot_ms;
    for class in &demand.classes {
        let known = sum
            .classes
            .iter_mut()
            .find(|c| c.priority == class.priority);
        match known {
            Some(known) => known.arrivals += class.arrivals,
            None => sum.classes.push(*class),
        }
    }
}
