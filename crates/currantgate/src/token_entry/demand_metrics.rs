//! Metrics of the shared view of load.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use currantgate_placement::Priority;
use currantgate_token::{Decision, ResetReason};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::limit_metrics::LimitMetrics;
use super::service_load::ServiceLoad;

/// Labels of one service in one failure domain.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Location {
    service: String,
    domain: String,
}

/// Labels of refused flows.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusedClass {
    service: String,
    is_idempotent: bool,
    level: u32,
    reason: String,
}

type FloatGauge = Gauge<f64, AtomicU64>;

/// Metrics of the shared view of load.
#[derive(Clone, Debug)]
pub(super) struct DemandMetrics {
    placed: Family<Location, Counter>,
    refused: Family<RefusedClass, Counter>,
    demand_flows: Family<Location, FloatGauge>,
    demand_slots: Family<Location, FloatGauge>,
    slots: Family<Location, FloatGauge>,
    weights: Family<Location, FloatGauge>,
    age: FloatGauge,
    is_current: Gauge,
    fallbacks: Counter,
    waiting: Gauge,
    wait_seconds: Histogram,
    refused_after_wait: Counter,
    displaced: Counter,
    /// Metrics of the entry's own limit, which is watched where demand is shared.
    pub(super) limit: LimitMetrics,
}

impl Default for DemandMetrics {
    fn default() -> Self {
        Self {
            placed: Family::default(),
            refused: Family::default(),
            demand_flows: Family::default(),
            demand_slots: Family::default(),
            slots: Family::default(),
            weights: Family::default(),
            age: FloatGauge::default(),
            is_current: Gauge::default(),
            fallbacks: Counter::default(),
            waiting: Gauge::default(),
            // From 1 ms to 0.5 s, after which no flow waits.
            wait_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 10)),
            refused_after_wait: Counter::default(),
            displaced: Counter::default(),
            limit: LimitMetrics::default(),
        }
    }
}

impl DemandMetrics {
    /// Registers all metrics under the `currantgate_entry` prefix.
    pub(super) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("currantgate_entry");
        registry.register(
            "flows_placed",
            "New flows that were placed, by failure domain of the upstream",
            self.placed.clone(),
        );
        registry.register(
            "flows_refused",
            "New flows that were refused, by priority and reason",
            self.refused.clone(),
        );
        registry.register(
            "demand_flows_per_second",
            "New flows a second that the callers of a failure domain ask for",
            self.demand_flows.clone(),
        );
        registry.register(
            "demand_slots",
            "Slots that the demand of a failure domain's callers would fill",
            self.demand_slots.clone(),
        );
        registry.register(
            "slots",
            "Slots of the upstreams that may get new flows, by failure domain",
            self.slots.clone(),
        );
        registry.register(
            "share_weight",
            "Part of this entry's new flows for a failure domain; none while shares are not used",
            self.weights.clone(),
        );
        registry.register(
            "demand_age_seconds",
            "Age of the oldest figure in the view of demand; 0 without figures",
            self.age.clone(),
        );
        registry.register(
            "demand_current",
            "1 while no figure in the view of demand is too old to be used",
            self.is_current.clone(),
        );
        registry.register(
            "demand_fallbacks",
            "Times that the entry went back to its own flows alone, as the view was old",
            self.fallbacks.clone(),
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
        self.limit.register(registry);
    }

    /// Returns the counter of the flows of a service that are placed in a domain.
    pub(super) fn placed(&self, service: &str, domain: &str) -> Counter {
        let labels = location(service, domain);
        self.placed.get_or_create_owned(&labels)
    }

    /// Returns the counter of the flows of a class that are refused for a reason.
    pub(super) fn refused(&self, service: &str, priority: Priority, reason: String) -> Counter {
        let class = RefusedClass {
            service: service.to_owned(),
            is_idempotent: priority.is_idempotent,
            level: priority.level,
            reason,
        };
        self.refused.get_or_create_owned(&class)
    }

    pub(super) fn set_waiting(&self, flows: usize) {
        self.waiting.set(i64::try_from(flows).unwrap_or(i64::MAX));
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

    pub(super) fn count_fallback(&self) {
        self.fallbacks.inc();
    }

    pub(super) fn set_view(&self, age: Option<Duration>, is_current: bool) {
        self.age.set(age.unwrap_or_default().as_secs_f64());
        self.is_current.set(i64::from(is_current));
    }

    /// Replaces the figures of all services.
    pub(super) fn set_loads(&self, loads: &[ServiceLoad]) {
        for family in [
            &self.demand_flows,
            &self.demand_slots,
            &self.slots,
            &self.weights,
        ] {
            family.clear();
        }
        for load in loads {
            for (domain, domain_load) in &load.domains {
                let labels = location(&load.service, domain);
                let set = |family: &Family<Location, FloatGauge>, value| {
                    family.get_or_create(&labels).set(value);
                };
                set(&self.demand_flows, domain_load.demand_flows);
                set(&self.demand_slots, domain_load.demand_slots);
                set(&self.slots, f64::from(domain_load.slots));
                if let Some(weight) = domain_load.weight {
                    set(&self.weights, weight);
                }
            }
        }
    }
}

fn location(service: &str, domain: &str) -> Location {
    Location {
        service: service.to_owned(),
        domain: domain.to_owned(),
    }
}
