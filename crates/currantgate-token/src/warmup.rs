//! The cold upstreams of an entry, and its permits for them.

use std::time::Instant;

use currantgate_placement::{Target, TargetKey};
use currantgate_warmup::{ColdService, PermitHolder, WarmupLimit};
use indexmap::IndexMap;

use crate::RouteTable;

/// An upstream that gets new flows only with a permit while it is cold.
#[derive(Clone, Debug)]
struct LimitedUpstream {
    key: TargetKey,
    service: Box<str>,
    is_local: bool,
    limit: u16,
    warm_at: Instant,
}

/// The cold upstreams of an entry, and its permits for them.
#[derive(Debug)]
pub(crate) struct Warmup {
    limit: WarmupLimit,
    pub(crate) holder: PermitHolder,
    limited: Vec<LimitedUpstream>,
    /// Number of upstreams that were cold at the last update.
    pub(crate) cold_count: usize,
}

impl Warmup {
    pub(crate) fn new(now: Instant, limit: WarmupLimit, seed: u64) -> Self {
        Self {
            limit,
            holder: PermitHolder::new(now, seed),
            limited: Vec::new(),
            cold_count: 0,
        }
    }

    /// Replaces the upstreams, of which those of services with a warm-up are limited.
    pub(crate) fn set_targets(&mut self, targets: &[Target], routes: &RouteTable) {
        self.limited.clear();
        for target in targets {
            let Some(warmup) = routes.warmup(&target.service) else {
                continue;
            };
            self.limited.push(LimitedUpstream {
                key: target.key,
                service: target.service.clone(),
                is_local: target.is_local,
                limit: self.limit.flows_per_second(warmup.flows_per_second),
                warm_at: target.warm_at,
            });
        }
    }

    /// Returns the upstreams that need a permit while they are cold.
    pub(crate) fn limited(&self) -> impl Iterator<Item = TargetKey> {
        self.limited.iter().map(|upstream| upstream.key)
    }

    /// Updates for which upstreams permits are requested.
    ///
    /// Where a service has upstreams in the entry's own domain, permits are requested only
    /// for those: the others are the choice of entries in their domains, and permits that
    /// are not used are lost to these for a while.
    pub(crate) fn update_cold(&mut self, now: Instant) {
        let mut services: IndexMap<&str, Vec<&LimitedUpstream>> = IndexMap::new();
        for upstream in &self.limited {
            services
                .entry(&upstream.service)
                .or_default()
                .push(upstream);
        }
        self.cold_count = 0;
        let mut cold_services = Vec::new();
        for (service, upstreams) in services {
            let has_local = upstreams.iter().any(|upstream| upstream.is_local);
            let cold = upstreams.iter().filter(|upstream| now < upstream.warm_at);
            self.cold_count += cold.clone().count();
            let usable = cold.filter(|upstream| upstream.is_local || !has_local);
            cold_services.push(ColdService {
                service: service.into(),
                limit: upstreams.first().map_or(0, |upstream| upstream.limit),
                keys: usable.map(|upstream| upstream.key).collect(),
            });
        }
        self.holder.set_cold(now, cold_services);
    }
}
