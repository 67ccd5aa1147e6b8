//! The demand that a control VM merges and publishes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use currantgate_capacity::{CollectorSettings, DemandCollector, ServiceDemand};
use indexmap::IndexMap;

use super::published_demand::PublishedDemand;

/// Interval at which reports are merged: once for all feeds, and half of the interval
/// of reports, so that merging delays a figure by less than a report does.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time from a domain's first report until its figure is published: the interval of
/// reports with half of it as margin. An earlier figure would lack entries that have not
/// reported yet, and show a fraction of the demand.
const COLLECTION_TIME: Duration = Duration::from_millis(750);

/// The demand that a control VM merges and publishes.
#[derive(Debug)]
pub struct DemandPublisher {
    collector: DemandCollector,
    /// Time from which each domain with reports is published.
    complete_at: IndexMap<Box<str>, Instant>,
    /// Time from which the published demand is replaced.
    update_due: Instant,
    published: Rc<[PublishedDemand]>,
}

impl DemandPublisher {
    /// Returns a publisher without reports.
    pub fn new(now: Instant) -> Self {
        Self {
            collector: DemandCollector::new(CollectorSettings::default()),
            complete_at: IndexMap::new(),
            update_due: now,
            published: Rc::default(),
        }
    }

    /// Adds the report of an entry.
    pub fn record(&mut self, now: Instant, reporter: u64, domain: &str, report: &[ServiceDemand]) {
        if !self.complete_at.contains_key(domain) {
            self.complete_at
                .insert(domain.into(), now + COLLECTION_TIME);
        }
        self.collector.record(now, reporter, domain, report);
    }

    /// Returns the demand of the domains whose entries report here. `domains` is the
    /// number of all domains with entries.
    pub fn published(&mut self, now: Instant, domains: usize) -> Rc<[PublishedDemand]> {
        if now >= self.update_due {
            self.update_due = now + UPDATE_INTERVAL;
            let merged = self.collector.published(now);
            // After a pause, the first reports of a domain again lack some of its entries.
            self.complete_at
                .retain(|domain, _| merged.iter().any(|d| d.domain == *domain));
            let complete_at = &self.complete_at;
            let complete = merged
                .into_iter()
                .filter(|d| complete_at.get(&d.domain).is_some_and(|at| now >= *at));
            self.published = complete
                .map(|demand| PublishedDemand::new(demand, domains))
                .collect();
        }
        Rc::clone(&self.published)
    }
}
