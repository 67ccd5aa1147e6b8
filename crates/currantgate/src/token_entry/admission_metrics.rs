//! Metrics of the admission of new flows.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use currantgate_token::{Decision, ResetReason, TokenRouter};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of one service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceName {
    service: String,
}

type FloatGauge = Gauge<f64, AtomicU64>;

/// Metrics of the admission of new flows. See `docs/design/admission.md`.
#[derive(Clone, Debug)]
pub(super) struct AdmissionMetrics {
    flow_window: Family<ServiceName, FloatGauge>,
    domain_preference: Family<ServiceName, FloatGauge>,
    waiting: Gauge,
    wait_seconds: Histogram,
    refused_after_wait: Counter,
    displaced: Counter,
}

impl Default for AdmissionMetrics {
    fn default() -> Self {
        Self {
            flow_window: Family::default(),
            domain_preference: Family::default(),
            waiting: Gauge::default(),
            // From 1 ms to 2 s. New flows wait for 0.5 s at most, late copies until their
            // callers give up after 1.4 s.
            wait_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 12)),
            refused_after_wait: Counter::default(),
            displaced: Counter::default(),
        }
    }
}

impl AdmissionMetrics {
    /// Registers all metrics in the registry of the entry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "flow_window",
            "Flows of a service that this entry may have open, by how long its flows take",
            self.flow_window.clone(),
        );
        registry.register(
            "own_domain_preference",
            "Part of a service's new flows that prefer the entry's own failure domain",
            self.domain_preference.clone(),
        );
        registry.register(
            "flows_waiting",
            "New flows that wait at this entry until it may open another one",
            self.waiting.clone(),
        );
        registry.register(
            "flow_wait_seconds",
            "Time that new flows waited at this entry, those that were refused then included",
            self.wait_seconds.clone(),
        );
        registry.register(
            "flows_refused_after_wait",
            "New flows that were refused after a wait, displaced ones included",
            self.refused_after_wait.clone(),
        );
        registry.register(
            "flows_displaced",
            "New flows that were refused as one of higher priority had their place in the queue",
            self.displaced.clone(),
        );
    }

    /// Sets the gauges to the state of the router.
    pub(super) fn update(&self, router: &TokenRouter) {
        let waiting = i64::try_from(router.waiting_flows()).unwrap_or(i64::MAX);
        self.waiting.set(waiting);
        for (service, state) in router.admission_states() {
            let name = ServiceName {
                service: service.to_owned(),
            };
            self.flow_window.get_or_create(&name).set(state.flow_window);
            self.domain_preference
                .get_or_create(&name)
                .set(state.domain_preference);
        }
    }

    /// Counts a flow that has waited.
    pub(super) fn count_departure(&self, waited: Duration, decision: Decision) {
        self.wait_seconds.observe(waited.as_secs_f64());
        if let Decision::Reset(reason) = decision {
            self.refused_after_wait.inc();
            if reason == ResetReason::Displaced {
                self.displaced.inc();
            }
        }
    }
}
