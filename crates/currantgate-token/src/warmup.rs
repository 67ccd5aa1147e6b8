//! The cold upstreams of an entry, and its permits for them.

use std::time::Instant;

use currantgate_placement::{Target, TargetKey};
use currantgate_warmup::{ColdService, PermitHolder, WarmupLimit};
use indexmap::IndexMap;

use crate::RouteTable;

/// An upstream that gets new flows only with a permit while it is cold.
#[derive(Clone, Copy, Debug)]
struct LimitedUpstream {
    key: TargetKey,
    is_local: bool,
    is_reporting: bool,
    warm_at: Instant,
}

/// The upstreams of a service that limits its cold ones.
#[derive(Clone, Debug)]
struct LimitedService {
    /// Most new flows of each cold upstream in a second from all entries together.
    limit: u16,
    upstreams: Vec<LimitedUpstream>,
}

/// The cold upstreams of an entry, and its permits for them.
#[derive(Debug)]
pub(crate) struct Warmup {
    limit: WarmupLimit,
    pub(crate) holder: PermitHolder,
    services: IndexMap<Box<str>, LimitedService>,
    /// Number of upstreams that were cold at the last update.
    pub(crate) cold_count: usize,
    /// Number of permits that were used.
    pub(crate) used_permits: u64,
}

impl Warmup {
    pub(crate) fn new(now: Instant, limit: WarmupLimit, seed: u64) -> Self {
        Self {
            limit,
            holder: PermitHolder::new(now, seed),
            services: IndexMap::new(),
            cold_count: 0,
            used_permits: 0,
        }
    }

    /// Replaces the upstreams, of which those of services with a warm-up are limited.
    pub(crate) fn set_targets(&mut self, targets: &[Target], routes: &RouteTable) {
        self.services.clear();
        for target in targets {
            let upstream = LimitedUpstream {
                key: target.key,
                is_local: target.is_local,
                is_reporting: target.is_reporting,
                warm_at: target.warm_at,
            };
            if let Some(service) = self.services.get_mut(&target.service) {
                service.upstreams.push(upstream);
            } else if let Some(warmup) = routes.warmup(&target.service) {
                let service = LimitedService {
                    limit: self.limit.flows_per_second(warmup.flows_per_second),
                    upstreams: vec![upstream],
                };
                self.services.insert(target.service.clone(), service);
            }
        }
    }

    /// Returns the upstreams that need a permit while they are cold.
    pub(crate) fn limited(&self) -> impl Iterator<Item = TargetKey> {
        let upstreams = self
            .services
            .values()
            .flat_map(|service| &service.upstreams);
        upstreams.map(|upstream| upstream.key)
    }

    /// Updates for which upstreams permits are requested.
    ///
    /// Where a service has upstreams that report, others are the last choice. Where it has a
    /// warm one and upstreams in the entry's own domain, others are the choice of the entries
    /// in theirs. Permits for these would expire unused, and are lost to other entries for a
    /// while. Without a warm one, flows are refused that get no permit, so all are of use.
    pub(crate) fn update_cold(&mut self, now: Instant) {
        self.cold_count = 0;
        let mut cold_services = Vec::with_capacity(self.services.len());
        for (name, service) in &self.services {
            let upstreams = service.upstreams.iter();
            self.cold_count += upstreams.clone().filter(|u| now < u.warm_at).count();
            let has_reporting = upstreams.clone().any(|u| u.is_reporting);
            let healthy = upstreams.filter(|u| u.is_reporting || !has_reporting);
            let has_warm = healthy.clone().any(|u| now >= u.warm_at);
            let prefers_local = has_warm && healthy.clone().any(|u| u.is_local);
            let preferred = healthy.filter(|u| u.is_local || !prefers_local);
            let usable = preferred.filter(|u| now < u.warm_at);
            cold_services.push(ColdService {
                service: name.clone(),
                limit: service.limit,
                keys: usable.map(|u| u.key).collect(),
            });
        }
        self.holder.set_cold(now, cold_services);
    }
}
