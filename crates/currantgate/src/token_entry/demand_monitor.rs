//! The log and the metrics of shared demand.

use std::time::Instant;

use currantgate_placement::Target;
use currantgate_token::{Decision, FirstPacketDecision, FlowId, TokenRouter};
use indexmap::IndexMap;

use super::demand_figures::DemandFigures;
use super::demand_metrics::DemandMetrics;
use super::demand_view::DemandView;
use super::service_load::{DomainLoad, ServiceLoad};
use super::shares_log::SharesLog;

/// Slots of one service by failure domain.
type DomainSlots = IndexMap<Box<str>, u32>;

/// The log and the metrics of shared demand.
#[derive(Debug)]
pub(super) struct DemandMonitor {
    metrics: DemandMetrics,
    shares_log: SharesLog,
    /// Slots of the upstreams that may get new flows, by service.
    slots: IndexMap<Box<str>, DomainSlots>,
}

impl DemandMonitor {
    pub(super) fn new(now: Instant, metrics: DemandMetrics) -> Self {
        Self {
            metrics,
            shares_log: SharesLog::new(now),
            slots: IndexMap::new(),
        }
    }

    /// Counts that the view of demand has become too old.
    pub(super) fn count_fallback(&self) {
        self.metrics.count_fallback();
    }

    /// Replaces the slots by those of the given upstreams that report.
    pub(super) fn set_slots<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        self.slots.clear();
        for target in targets.filter(|target| target.is_reporting) {
            let domains = self.slots.entry(target.service.clone()).or_default();
            *domains.entry(target.domain.clone()).or_default() += target.slots;
        }
    }

    /// Updates the metrics, and logs shares that have changed noticeably.
    pub(super) fn update(&mut self, now: Instant, view: &DemandView, router: &TokenRouter) {
        let age = view.age(now);
        self.metrics.set_view(age, view.is_current(now));
        let loads = self.loads(view, router);
        self.metrics.set_loads(&loads);
        for load in &loads {
            self.shares_log.log_if_changed(now, load, age);
        }
    }

    /// Returns the demand, the slots and the weights of all services.
    fn loads(&self, view: &DemandView, router: &TokenRouter) -> Vec<ServiceLoad> {
        let mut services: IndexMap<&str, IndexMap<Box<str>, DomainLoad>> = IndexMap::new();
        for (service, slots) in &self.slots {
            let domains = services.entry(service).or_default();
            for (domain, slots) in slots {
                domains.entry(domain.clone()).or_default().slots = *slots;
            }
        }
        for demand in view.demands() {
            for service in &demand.services {
                let domains = services.entry(&service.service).or_default();
                let load = domains.entry(demand.domain.clone()).or_default();
                load.set_demand(service);
            }
        }
        let to_load = |(service, mut domains): (&str, IndexMap<Box<str>, DomainLoad>)| {
            let shares = router.shares(service);
            for (domain, weight) in shares.into_iter().flat_map(|s| &s.domains) {
                domains.entry(domain.clone()).or_default().weight = Some(*weight);
            }
            domains.sort_unstable_keys();
            ServiceLoad {
                service: service.into(),
                domains,
            }
        };
        services.into_iter().map(to_load).collect()
    }

    /// Counts the decision about a first packet, and returns the figures behind it.
    pub(super) fn record_decision(
        &self,
        now: Instant,
        flow: &FlowId,
        decided: &FirstPacketDecision,
        view: &DemandView,
        router: &TokenRouter,
    ) -> DemandFigures {
        let class = router.flow_class(flow);
        let located = decided.placed.and_then(|p| router.upstream_location(p.key));
        if let Some((service, domain)) = located {
            self.metrics.count_placed(service, domain);
        }
        if let (Decision::Reset(reason), Some((service, priority))) = (decided.decision, class) {
            self.metrics
                .count_refused(service, priority, reason.to_string());
        }
        let shares = class.and_then(|(service, _)| router.shares(service));
        let domain = located.map(|(_, domain)| domain);
        let weight = shares.zip(domain).map(|(shares, domain)| {
            let weight = shares.domains.get(domain);
            weight.copied().unwrap_or_default()
        });
        let age_ms = view.age(now).map(|age| age.as_millis());
        DemandFigures {
            service: class.map(|(service, _)| service.into()),
            priority: class.map(|(_, priority)| priority),
            domain: domain.map(Into::into),
            weight,
            admitted: shares
                .zip(class)
                .and_then(|(shares, (_, priority))| shares.admitted.get(&priority).copied()),
            own_share: shares.map(|shares| shares.own_share),
            fleet_capacity: shares.map(|shares| shares.fleet_capacity),
            age_ms: age_ms.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        }
    }
}
