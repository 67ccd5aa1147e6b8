//! Metrics of the shared view of load.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use currantgate_placement::Priority;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
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
#[derive(Clone, Debug, Default)]
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
    /// Metrics of the entry's own limit, which is watched where demand is shared.
    pub(super) limit: LimitMetrics,
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
