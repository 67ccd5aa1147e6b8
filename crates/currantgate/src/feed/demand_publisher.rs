//! The demand that a control VM merges and publishes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bincode::error::EncodeError;
use currantgate_capacity::{DemandCollector, DemandSettings, DomainDemand, ServiceDemand};
use indexmap::{IndexMap, IndexSet};

use super::published_demand::PublishedDemand;

/// Interval at which reports are merged: once for all feeds, and half of the interval
/// of reports, so that merging delays a figure by less than a report does.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time from a domain's first report until its figure is published: the interval of
/// reports with half of it as margin. An earlier figure would lack entries that have not
/// reported yet, and show a fraction of the demand.
const COLLECTION_TIME: Duration = Duration::from_millis(750);

/// Shortest period of a report that is merged: half of the interval of reports.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a domain is published without demand after its last report has expired or
/// else its last feed has ended, if none of its entries has a feed. Entries would otherwise wait
/// for figures of a domain that has no entries any more.
const VACANCY_TIME: Duration = Duration::from_secs(10);

/// The demand that a control VM merges and publishes.
#[derive(Debug)]
pub struct DemandPublisher {
    collector: DemandCollector,
    /// Time from which each domain with reports is published.
    complete_at: IndexMap<Box<str>, Instant>,
    /// Time until which each domain whose reports have expired, or whose feeds have ended,
    /// may be published without demand.
    vacant_until: IndexMap<Box<str>, Instant>,
    /// Domains of which entries had a feed at the last update.
    fed_domains: IndexSet<Box<str>>,
    /// Whether any entry has reported demand here. Without reports nothing is published, as
    /// entries may not share their demand.
    has_reports: bool,
    /// Time from which the published demand is replaced.
    update_due: Instant,
    published: Rc<[Rc<PublishedDemand>]>,
}

impl DemandPublisher {
    /// Returns a publisher without reports.
    pub fn new(now: Instant) -> Self {
        Self {
            collector: DemandCollector::new(DemandSettings::default()),
            complete_at: IndexMap::new(),
            vacant_until: IndexMap::new(),
            fed_domains: IndexSet::new(),
            has_reports: false,
            update_due: now,
            published: Rc::default(),
        }
    }

    /// Adds the report of an entry that covers `period`; returns whether its numbers are
    /// valid. Reports of a short period are dropped, as the rates of a few flows in a short
    /// time vary much.
    pub fn record(
        &mut self,
        now: Instant,
        reporter: u64,
        domain: &str,
        period: Duration,
        report: &[ServiceDemand],
    ) -> bool {
        if !report.iter().all(is_valid) {
            return false;
        }
        if period < MIN_REPORT_PERIOD {
            return true;
        }
        if !self.complete_at.contains_key(domain) {
            self.complete_at
                .insert(domain.into(), now + COLLECTION_TIME);
        }
        self.has_reports = true;
        self.collector.record(now, reporter, domain, period, report);
        true
    }

    /// Returns the demand of the domains whose entries report here, and those that have
    /// lost their last entry a short time ago. `entries_by_domain` is the number of
    /// entries with a feed of each domain.
    pub fn published(
        &mut self,
        now: Instant,
        entries_by_domain: &IndexMap<Box<str>, usize>,
    ) -> Rc<[Rc<PublishedDemand>]> {
        if now >= self.update_due {
            self.update_due = now + UPDATE_INTERVAL;
            let merged = self.collector.published(now);
            self.update_domains(now, &merged);
            self.update_fed_domains(now, entries_by_domain);
            let complete_at = &self.complete_at;
            let complete = merged
                .into_iter()
                .filter(|d| complete_at.get(&d.domain).is_some_and(|at| now >= *at));
            // Entries with a feed may report to another collector.
            let vacant = self.vacant_until.keys().filter(|_| self.has_reports);
            let vacant = vacant.filter(|domain| !entries_by_domain.contains_key(*domain));
            let vacant = vacant.map(|domain| DomainDemand {
                domain: domain.clone(),
                entries: 0,
                position: None,
                services: Vec::new(),
            });
            let domains = entries_by_domain.len();
            self.published = complete
                .chain(vacant)
                .map(|demand| PublishedDemand::new(now, demand, domains))
                .filter_map(|figure| figure.map(Rc::new).inspect_err(log_encode_error).ok())
                .collect();
        }
        Rc::clone(&self.published)
    }

    /// Returns the position of an entry among those of its domain that report.
    pub fn position(&self, reporter: u64) -> Option<u16> {
        self.collector.position(reporter)
    }

    /// Marks the domains whose last feed has ended as vacant. Their collector may have failed
    /// together with their entries, and no other control VM had their reports.
    fn update_fed_domains(&mut self, now: Instant, entries_by_domain: &IndexMap<Box<str>, usize>) {
        let is_fed = |domain: &str| entries_by_domain.contains_key(domain);
        let lost = self.fed_domains.extract_if(.., |domain| !is_fed(domain));
        for domain in lost {
            let until = now + VACANCY_TIME;
            self.vacant_until.entry(domain).or_insert(until);
        }
        self.fed_domains.extend(entries_by_domain.keys().cloned());
    }

    /// Tracks which domains have reports, and which had them until a short time ago.
    fn update_domains(&mut self, now: Instant, merged: &[DomainDemand]) {
        let has_reports = |domain: &str| merged.iter().any(|d| *d.domain == *domain);
        // After a pause, the first reports of a domain again lack some of its entries.
        let expired = self
            .complete_at
            .extract_if(.., |domain, _| !has_reports(domain));
        self.vacant_until
            .extend(expired.map(|(domain, _)| (domain, now + VACANCY_TIME)));
        self.vacant_until
            .retain(|domain, until| now < *until && !has_reports(domain));
    }
}

/// Returns whether all numbers are finite and not negative: one that is not would spoil
/// the sums of its domain.
fn is_valid(demand: &ServiceDemand) -> bool {
    let arrivals = demand.classes.iter().map(|class| class.arrivals);
    let mut numbers = arrivals.chain([demand.completions, demand.slot_ms, demand.slots]);
    numbers.all(|number| number.is_finite() && number >= 0.0)
}

fn log_encode_error(error: &EncodeError) {
    log::error!("encoding the demand of a failure domain failed: {error}");
}
