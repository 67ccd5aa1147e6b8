//! The demand that a control VM merges and publishes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use currantgate_capacity::{CollectorSettings, DemandCollector, ServiceDemand};

use super::published_demand::PublishedDemand;

/// Interval at which reports are merged: once for all feeds, and half of the interval
/// of reports, so that merging delays a figure by less than a report does.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// The demand that a control VM merges and publishes.
#[derive(Debug)]
pub(super) struct DemandPublisher {
    collector: DemandCollector,
    /// Time from which the published demand is replaced.
    update_due: Instant,
    published: Rc<[PublishedDemand]>,
}

impl DemandPublisher {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            collector: DemandCollector::new(CollectorSettings::default()),
            update_due: now,
            published: Rc::default(),
        }
    }

    /// Adds the report of an entry.
    pub(super) fn record(
        &mut self,
        now: Instant,
        reporter: u64,
        domain: &str,
        report: &[ServiceDemand],
    ) {
        self.collector.record(now, reporter, domain, report);
    }

    /// Returns the demand of the domains whose entries report here. `domains` is the
    /// number of all domains with entries.
    pub(super) fn published(&mut self, now: Instant, domains: usize) -> Rc<[PublishedDemand]> {
        if now >= self.update_due {
            self.update_due = now + UPDATE_INTERVAL;
            let merged = self.collector.published(now).into_iter();
            self.published = merged.map(|d| PublishedDemand::new(d, domains)).collect();
        }
        Rc::clone(&self.published)
    }
}
