//! Metrics of a token entry.

use std::time::Duration;

use currantgate_registry::EvacuationView;
use currantgate_token::{Decision, DropReason, ResetReason};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::admission_metrics::AdmissionMetrics;
use super::format::MalformedPacket;

/// Labels of packets and flows that were not forwarded.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
    reason: String,
}

/// Metrics of a token entry's packets, flows and feeds.
#[derive(Clone, Debug)]
pub(super) struct TokenEntryMetrics {
    packets: Family<Outcome, Counter>,
    forwarded: Counter,
    failed_sends: Counter,
    flows: Gauge,
    upstreams: Gauge,
    slow_upstreams: Gauge,
    cold_upstreams: Gauge,
    warmup_permits_used: Counter,
    revision: Gauge,
    evacuation_revision: Gauge,
    evacuated_domains: Gauge,
    evacuated_flows: Gauge,
    feeds: Gauge,
    routes_current: Gauge,
    handshake_seconds: Histogram,
    /// Metrics of the admission of new flows.
    pub(super) admission: AdmissionMetrics,
}

impl Default for TokenEntryMetrics {
    fn default() -> Self {
        Self {
            packets: Family::default(),
            forwarded: Counter::default(),
            failed_sends: Counter::default(),
            flows: Gauge::default(),
            upstreams: Gauge::default(),
            slow_upstreams: Gauge::default(),
            cold_upstreams: Gauge::default(),
            warmup_permits_used: Counter::default(),
            revision: Gauge::default(),
            evacuation_revision: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuated_flows: Gauge::default(),
            feeds: Gauge::default(),
            routes_current: Gauge::default(),
            // From 1 ms, a round trip within a domain, to 4 s, after which callers
            // have given up.
            handshake_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 13)),
            admission: AdmissionMetrics::default(),
        }
    }
}

impl TokenEntryMetrics {
    /// Registers all metrics under the `currantgate_entry` prefix.
    pub(super) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("currantgate_entry");
        registry.register(
            "packets_not_forwarded",
            "Packets that were reset or dropped and flows that expired, by reason",
            self.packets.clone(),
        );
        registry.register(
            "packets_forwarded",
            "Packets handed to upstreams",
            self.forwarded.clone(),
        );
        registry.register(
            "packets_failed_sends",
            "Packets that the system did not take",
            self.failed_sends.clone(),
        );
        registry.register(
            "flows_open",
            "Flows that this entry opened and that have not ended",
            self.flows.clone(),
        );
        registry.register(
            "upstreams_known",
            "Upstreams that packets can reach, also those that take no new flows",
            self.upstreams.clone(),
        );
        registry.register(
            "upstreams_slow",
            "Upstreams that are avoided, as the entries of the domain observe them as slow",
            self.slow_upstreams.clone(),
        );
        registry.register(
            "upstreams_cold",
            "Upstreams that get new flows only with a permit, as they are warming up",
            self.cold_upstreams.clone(),
        );
        registry.register(
            "warmup_permits_used",
            "Flows placed on upstreams that are warming up, each with a permit",
            self.warmup_permits_used.clone(),
        );
        registry.register(
            "routes_revision",
            "The revision of the routes in force here",
            self.revision.clone(),
        );
        registry.register(
            "routes_current",
            "1 while a control VM in contact with a quorum holds nothing newer",
            self.routes_current.clone(),
        );
        registry.register(
            "evacuation_revision",
            "The revision of the evacuation orders in force here",
            self.evacuation_revision.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains whose upstreams get no new flows",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "evacuated_flows_open",
            "Flows that this entry opened and that have not ended, in evacuated failure domains",
            self.evacuated_flows.clone(),
        );
        registry.register("feeds_open", "Control VMs in reach", self.feeds.clone());
        registry.register(
            "handshake_seconds",
            "Time from a first packet to the sign that its upstream answered",
            self.handshake_seconds.clone(),
        );
        self.admission.register(registry);
    }

    pub(super) fn count_decision(&self, decision: &Decision) {
        match decision {
            Decision::Forward(_) => {
                self.forwarded.inc();
            }
            Decision::Reset(reason) => self.count_reset(*reason),
            Decision::Drop(reason) => self.count_drop(*reason),
            Decision::Wait => {}
        }
    }

    fn count_reset(&self, reason: ResetReason) {
        self.count_outcome("reset", reason.to_string());
    }

    fn count_drop(&self, reason: DropReason) {
        self.count_outcome("dropped", reason.to_string());
    }

    pub(super) fn count_malformed(&self, reason: MalformedPacket) {
        self.count_outcome("malformed", reason.to_string());
    }

    pub(super) fn count_expired(&self, was_answered: bool) {
        let reason = if was_answered {
            "answered"
        } else {
            "unanswered"
        };
        self.count_outcome("expired", reason.to_owned());
    }

    pub(super) fn count_failed_send(&self) {
        self.failed_sends.inc();
    }

    pub(super) fn observe_handshake(&self, time: Duration) {
        self.handshake_seconds.observe(time.as_secs_f64());
    }

    pub(super) fn set_feeds(&self, feeds: usize, routes_current: bool) {
        self.feeds.set(i64::try_from(feeds).unwrap_or(i64::MAX));
        self.routes_current.set(i64::from(routes_current));
    }

    pub(super) fn set_slow_upstreams(&self, count: usize) {
        self.slow_upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of cold upstreams, and that of the permits used since the start.
    pub(super) fn set_warmup(&self, cold_upstreams: usize, used_permits: u64) {
        self.cold_upstreams
            .set(i64::try_from(cold_upstreams).unwrap_or(i64::MAX));
        let counted = self.warmup_permits_used.get();
        self.warmup_permits_used
            .inc_by(used_permits.saturating_sub(counted));
    }

    pub(super) fn set_evacuations(&self, evacuations: &EvacuationView, open_flows: u32) {
        let revision = i64::try_from(evacuations.revision()).unwrap_or(i64::MAX);
        self.evacuation_revision.set(revision);
        let domains = i64::try_from(evacuations.evacuated().len()).unwrap_or(i64::MAX);
        self.evacuated_domains.set(domains);
        self.evacuated_flows.set(open_flows.into());
    }

    pub(super) fn set_state(&self, flows: usize, upstreams: usize, revision: u64) {
        self.flows.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.upstreams
            .set(i64::try_from(upstreams).unwrap_or(i64::MAX));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    fn count_outcome(&self, outcome: &'static str, reason: String) {
        self.packets
            .get_or_create(&Outcome { outcome, reason })
            .inc();
    }
}
