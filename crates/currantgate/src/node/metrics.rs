//! Metrics of a control node, without those of the consensus.

use currantgate_registry::{Record, UpstreamState};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::feed::PermitCounts;

/// Label for whether a report was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

/// Labels for the reason for which a report is refused, and the field at fault.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
    field: &'static str,
}

/// Label for the state of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct State {
    state: &'static str,
}

/// Label for a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Domain {
    domain: String,
}

/// Metrics of a control node, without those of the consensus.
#[derive(Clone, Debug)]
pub(super) struct NodeMetrics {
    reports: Family<Outcome, Counter>,
    refused_reports: Family<Reason, Counter>,
    upstreams: Family<State, Gauge>,
    slow_upstreams: Gauge,
    demand_entries: Family<Domain, Gauge>,
    permit_requests: Counter,
    permits_granted: Counter,
    feeds: Gauge,
    evacuated_domains: Gauge,
    evacuations_revision: Gauge,
    commit_seconds: Histogram,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self {
            reports: Family::default(),
            refused_reports: Family::default(),
            upstreams: Family::default(),
            slow_upstreams: Gauge::default(),
            demand_entries: Family::default(),
            permit_requests: Counter::default(),
            permits_granted: Counter::default(),
            feeds: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuations_revision: Gauge::default(),
            // From 1 ms, a round trip, to 8 s, longer than the longest outage.
            commit_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
        }
    }
}

impl NodeMetrics {
    /// Registers all metrics under the `currantgate_node` prefix.
    pub(super) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("currantgate_node");
        registry.register("reports", "Reports of upstreams", self.reports.clone());
        registry.register(
            "refused_reports",
            "Reports and departures of upstreams that are refused, by reason and field",
            self.refused_reports.clone(),
        );
        registry.register(
            "upstreams",
            "Upstreams that report here, by state",
            self.upstreams.clone(),
        );
        registry.register(
            "upstreams_slow",
            "Upstreams that the entries which report here observe as slow",
            self.slow_upstreams.clone(),
        );
        registry.register(
            "demand_entries",
            "Entries whose demand is merged here, by failure domain",
            self.demand_entries.clone(),
        );
        registry.register(
            "warmup_requests",
            "Requests of entries for permits that this VM has answered as the leader",
            self.permit_requests.clone(),
        );
        registry.register(
            "warmup_permits_granted",
            "Permits for flows on upstreams that are warming up, granted as the leader",
            self.permits_granted.clone(),
        );
        registry.register("feeds", "Feeds that are open", self.feeds.clone());
        registry.register(
            "evacuated_domains",
            "Failure domains whose upstreams get no new flows by an operator's order",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "evacuations_revision",
            "Log index of the last such order that is published here",
            self.evacuations_revision.clone(),
        );
        registry.register(
            "commit_seconds",
            "Time from a change to its answer",
            self.commit_seconds.clone(),
        );
    }

    /// Counts a report by what became of it.
    pub(super) fn count_report(&self, outcome: &'static str) {
        self.reports.get_or_create(&Outcome { outcome }).inc();
    }

    pub(super) fn count_refused_report(&self, reason: &'static str, field: &'static str) {
        let label = Reason { reason, field };
        self.refused_reports.get_or_create(&label).inc();
    }

    pub(super) fn observe_commit(&self, seconds: f64) {
        self.commit_seconds.observe(seconds);
    }

    pub(super) fn set_slow_upstreams(&self, count: usize) {
        self.slow_upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn set_evacuations(&self, domains: usize, revision: u64) {
        self.evacuated_domains
            .set(i64::try_from(domains).unwrap_or(i64::MAX));
        self.evacuations_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    pub(super) fn set_demand_entries(&self, entries: Vec<(Box<str>, u16)>) {
        self.demand_entries.clear();
        for (domain, count) in entries {
            let domain = Domain {
                domain: domain.into(),
            };
            self.demand_entries.get_or_create(&domain).set(count.into());
        }
    }

    pub(super) fn set_permits(&self, counts: PermitCounts) {
        let increase_to = |counter: &Counter, count: u64| {
            counter.inc_by(count.saturating_sub(counter.get()));
        };
        increase_to(&self.permit_requests, counts.requests);
        increase_to(&self.permits_granted, counts.granted);
    }

    pub(super) fn set_state<'a>(&self, records: impl Iterator<Item = &'a Record>, feeds: usize) {
        let mut counts = [("ready", 0), ("silent", 0), ("draining", 0), ("gone", 0)];
        for label in records.map(state_label) {
            for (state, count) in &mut counts {
                *count += i64::from(*state == label);
            }
        }
        for (state, count) in counts {
            self.upstreams.get_or_create(&State { state }).set(count);
        }
        self.feeds.set(i64::try_from(feeds).unwrap_or(i64::MAX));
    }
}

fn state_label(record: &Record) -> &'static str {
    match record.report.state {
        UpstreamState::Gone => "gone",
        UpstreamState::Draining => "draining",
        UpstreamState::Ready if record.is_silent => "silent",
        UpstreamState::Ready => "ready",
    }
}
