//! Demand, slots and weights of one service by failure domain.

use currantgate_capacity::ServiceDemand;
use indexmap::IndexMap;

/// Demand, slots and weight of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainLoad {
    /// New flows a second that the callers of the domain ask for.
    pub(super) demand_flows: f64,
    /// Slots that these flows would fill.
    pub(super) demand_slots: f64,
    /// Slots of the domain's upstreams that may get new flows.
    pub(super) slots: u32,
    /// Part of this entry's new flows for the domain; nothing while shares are not used.
    pub(super) weight: Option<f64>,
}

impl DomainLoad {
    pub(super) fn set_demand(&mut self, demand: &ServiceDemand) {
        let arrivals = demand.classes.iter().map(|c| f64::from(c.arrivals));
        self.demand_flows = arrivals.sum();
        let completions = f64::from(demand.completions);
        if completions > 0.0 {
            let slot_seconds = f64::from(demand.slot_ms) / completions / 1_000.0;
            self.demand_slots = self.demand_flows * slot_seconds;
        }
    }
}

/// Demand, slots and weights of one service by failure domain.
#[derive(Clone, Debug)]
pub(super) struct ServiceLoad {
    pub(super) service: Box<str>,
    pub(super) domains: IndexMap<Box<str>, DomainLoad>,
}

impl ServiceLoad {
    /// Returns the domains with a value of each, as in `a:0.75,b:0.25`.
    pub(super) fn describe(&self, value: impl Fn(&DomainLoad) -> String) -> String {
        let domains = self.domains.iter();
        let values = domains.map(|(domain, load)| format!("{domain}:{}", value(load)));
        values.collect::<Vec<_>>().join(",")
    }
}
