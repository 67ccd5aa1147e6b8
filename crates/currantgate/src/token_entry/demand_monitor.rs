//! The log and the metrics of shared demand.

use std::mem::{self, Discriminant};
use std::time::Instant;

use currantgate_placement::{Priority, Target, TargetKey};
use currantgate_token::{Decision, FirstPacketDecision, FlowId, ResetReason, TokenRouter};
use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;

use super::demand_figures::DemandFigures;
use super::demand_metrics::DemandMetrics;
use super::demand_view::DemandView;
use super::service_load::{DomainLoad, ServiceLoad};
use super::shares_log::SharesLog;

/// Slots of one service by failure domain.
type DomainSlots = IndexMap<Box<str>, u32>;

/// Counters of refused flows of one service by priority and reason.
type RefusalCounters = IndexMap<(Priority, Discriminant<ResetReason>), Counter>;

/// The log and the metrics of shared demand.
#[derive(Debug)]
pub(super) struct DemandMonitor {
    metrics: DemandMetrics,
    shares_log: SharesLog,
    /// Slots of the upstreams that may get new flows, by service.
    slots: IndexMap<Box<str>, DomainSlots>,
    /// Counters of placed flows by upstream, until the upstreams change.
    placed: IndexMap<TargetKey, Counter>,
    /// Counters of refused flows by service, priority and reason.
    refused: IndexMap<Box<str>, RefusalCounters>,
}

impl DemandMonitor {
    pub(super) fn new(now: Instant, metrics: DemandMetrics) -> Self {
        Self {
            metrics,
            shares_log: SharesLog::new(now),
            slots: IndexMap::new(),
            placed: IndexMap::new(),
            refused: IndexMap::new(),
        }
    }

    /// Counts that the view of demand has become too old.
    pub(super) fn count_fallback(&self) {
        self.metrics.count_fallback();
    }

    /// Replaces the slots by those of the given upstreams that report.
    pub(super) fn set_slots<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        self.slots.clear();
        self.placed.clear();
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

    /// Counts the decision about a first packet, once for each flow: neither retransmissions
    /// nor placements after the silence of an upstream are counted.
    pub(super) fn count_decision(
        &mut self,
        flow: &FlowId,
        decided: &FirstPacketDecision,
        router: &TokenRouter,
    ) {
        if !decided.is_new {
            return;
        }
        if let Some(placed) = decided.placed {
            self.count_placed(placed.key, router);
        }
        if let (Decision::Reset(reason), Some(class)) = (decided.decision, decided.class)
            && let Some(service) = router.service_name(flow, class)
        {
            self.count_refused(service, class.priority, reason);
        }
    }

    fn count_placed(&mut self, key: TargetKey, router: &TokenRouter) {
        if let Some(counter) = self.placed.get(&key) {
            counter.inc();
        } else if let Some((service, domain)) = router.upstream_location(key) {
            let counter = self.metrics.placed(service, domain);
            counter.inc();
            self.placed.insert(key, counter);
        }
    }

    fn count_refused(&mut self, service: &str, priority: Priority, reason: ResetReason) {
        let kind = (priority, mem::discriminant(&reason));
        let counters = self.refused.get(service);
        if let Some(counter) = counters.and_then(|counters| counters.get(&kind)) {
            counter.inc();
            return;
        }
        let counter = self.metrics.refused(service, priority, reason.to_string());
        counter.inc();
        let counters = self.refused.entry(service.into()).or_default();
        counters.insert(kind, counter);
    }

    /// Returns the figures behind the decision about a first packet, for its log line.
    pub(super) fn figures(
        now: Instant,
        flow: &FlowId,
        decided: &FirstPacketDecision,
        view: &DemandView,
        router: &TokenRouter,
    ) -> DemandFigures {
        let priority = decided.class.map(|class| class.priority);
        let service = decided.class.and_then(|c| router.service_name(flow, c));
        let location = decided.placed.and_then(|p| router.upstream_location(p.key));
        let domain = location.map(|(_, domain)| domain);
        let shares = service.and_then(|service| router.shares(service));
        let weight = shares.zip(domain).map(|(shares, domain)| {
            let weight = shares.domains.get(domain);
            weight.copied().unwrap_or_default()
        });
        let age_ms = view.age(now).map(|age| age.as_millis());
        DemandFigures {
            service: service.map(Into::into),
            priority,
            domain: domain.map(Into::into),
            weight,
            admitted: shares
                .zip(priority)
                .and_then(|(shares, priority)| shares.admitted.get(&priority).copied()),
            own_share: shares.map(|shares| shares.own_share),
            fleet_capacity: shares.map(|shares| shares.fleet_capacity),
            age_ms: age_ms.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        }
    }
}
