//! Merges the reports of entries on a control VM.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{DemandSettings, DomainDemand, ServiceDemand};

/// Identifies an entry, the same whenever it connects.
pub type ReporterId = u64;

/// Most services of one report that are kept, which bounds the memory that a faulty
/// entry can take.
const MAX_SERVICES: usize = 64;

/// Report of one entry.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    period: Duration,
    services: Vec<ServiceDemand>,
}

/// Reports of one entry within the window.
#[derive(Clone, Debug)]
struct Reporter {
    domain: Box<str>,
    reports: VecDeque<Report>,
}

/// Merges the demand that entries report, by their failure domains.
#[derive(Clone, Debug)]
pub struct DemandCollector {
    settings: DemandSettings,
    reporters: BTreeMap<ReporterId, Reporter>,
}

impl DemandCollector {
    /// Returns a collector without reports.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            reporters: BTreeMap::new(),
        }
    }

    /// Adds the report of an entry of a failure domain, which covers `period`.
    ///
    /// All numbers have to be finite and not negative, which the receiver of the report has
    /// checked.
    pub fn record(
        &mut self,
        now: Instant,
        reporter: ReporterId,
        domain: &str,
        period: Duration,
        report: &[ServiceDemand],
    ) {
        let known = self.reporters.entry(reporter).or_insert_with(|| Reporter {
            domain: domain.into(),
            reports: VecDeque::new(),
        });
        if &*known.domain != domain {
            known.domain = domain.into();
            known.reports.clear();
        }
        let services = report.iter().take(MAX_SERVICES).cloned().collect();
        known.reports.push_back(Report {
            at: now,
            period,
            services,
        });
        evict(known, now, self.settings.window);
    }

    /// Returns the demand a second of each domain, from the reports within the window.
    /// An entry without a report in that time drops out.
    pub fn published(&mut self, now: Instant) -> Vec<DomainDemand> {
        let window = self.settings.window;
        self.reporters.retain(|_, reporter| {
            evict(reporter, now, window);
            !reporter.reports.is_empty()
        });
        let mut domains: IndexMap<&str, DomainDemand> = IndexMap::new();
        for reporter in self.reporters.values() {
            let seconds: f32 = reporter
                .reports
                .iter()
                .map(|r| r.period.as_secs_f32())
                .sum();
            if seconds <= 0.0 {
                continue;
            }
            let sums = domains
                .entry(&reporter.domain)
                .or_insert_with(|| DomainDemand {
                    domain: reporter.domain.clone(),
                    entries: 0,
                    position: None,
                    services: Vec::new(),
                });
            sums.entries = sums.entries.saturating_add(1);
            for service in reporter.reports.iter().flat_map(|r| &r.services) {
                add(&mut sums.services, service, 1.0 / seconds);
            }
        }
        let mut published: Vec<DomainDemand> = domains.into_values().collect();
        for demand in &mut published {
            for service in &mut demand.services {
                service.slots = self.mean_slots(&demand.domain, &service.service);
            }
        }
        published
    }

    /// Returns the mean of the slots that a domain's entries have reported last.
    fn mean_slots(&self, domain: &str, service: &str) -> f32 {
        let reporters = self.reporters.values();
        let last = reporters
            .filter(|reporter| &*reporter.domain == domain)
            .filter_map(|reporter| reporter.reports.back())
            .flat_map(|report| &report.services)
            .filter(|demand| &*demand.service == service);
        let (count, sum) = last.fold((0.0_f32, 0.0), |(count, sum), demand| {
            (count + 1.0, sum + demand.slots)
        });
        sum / count.max(1.0)
    }

    /// Returns the position of an entry among the reporting ones of its domain, from 0,
    /// by which these divide the upstreams among themselves.
    pub fn position(&self, reporter: ReporterId) -> Option<u16> {
        let domain = &self.reporters.get(&reporter)?.domain;
        let before = self.reporters.range(..reporter);
        let position = before.filter(|(_, r)| r.domain == *domain).count();
        u16::try_from(position).ok()
    }
}

/// Drops the reports that are older than the window.
fn evict(reporter: &mut Reporter, now: Instant, window: Duration) {
    while let Some(report) = reporter.reports.front()
        && now.saturating_duration_since(report.at) >= window
    {
        reporter.reports.pop_front();
    }
}

/// Adds a service's demand times `factor` to sums.
fn add(sums: &mut Vec<ServiceDemand>, service: &ServiceDemand, factor: f32) {
    let index = sums.iter().position(|sum| sum.service == service.service);
    let index = index.unwrap_or_else(|| {
        sums.push(ServiceDemand {
            service: service.service.clone(),
            classes: Vec::new(),
            completions: 0.0,
            slot_ms: 0.0,
            slots: 0.0,
        });
        sums.len() - 1
    });
    sums[index].add_flows(service, factor);
}
