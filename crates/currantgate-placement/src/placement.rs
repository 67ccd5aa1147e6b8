//! The choice of an upstream for a new flow.

mod shared_decisions;
mod waiting_decisions;

use std::mem;
use std::time::{Duration, Instant};

use currantgate_capacity::FleetDemand;
use currantgate_observation::{
    NORMAL_SLOWNESS, Observation, ObservationLog, SlowUpstream, UnansweredLog,
};
use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::candidate::{Candidate, Health};
use crate::domain::Domain;
use crate::ended_flow::EndedFlow;
use crate::permits::Permits;
use crate::service::Service;
use crate::slowness::flow_slowness;
use crate::{
    AdmissionState, Placed, PlacementRequest, PlacementSettings, Priority, Refusal, Suspect,
    SuspicionChange, Target, TargetKey,
};

/// Most suspicion changes kept until they are taken; the oldest are dropped first.
const MAX_SUSPICION_CHANGES: usize = 256;

/// Health and load that upstreams are compared by; the smallest gets the flow.
type Rank = (Health, f64);

/// Chooses an upstream for each new flow.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    rng: ChaCha8Rng,
    pub(crate) candidates: IndexMap<TargetKey, Candidate>,
    pub(crate) services: IndexMap<Box<str>, Service>,
    domains: IndexMap<Box<str>, Domain>,
    /// Suspicions that started or ended and were not taken yet.
    suspicion_changes: Vec<SuspicionChange>,
    /// Flows that ended and were not reported to the fleet yet.
    observations: ObservationLog,
    /// First packets with a late answer that were not reported yet.
    unanswered: UnansweredLog,
    /// Upstreams that the fleet observes as slow.
    fleet_slowness: IndexMap<TargetKey, f64>,
    /// Cold upstreams that get new flows only with a permit.
    permits: Permits,
    /// Demand of all entries, if the settings require decisions by it.
    fleet_demand: Option<FleetDemand>,
    /// Failure domain of this entry, once it had an upstream there.
    own_domain: Option<Box<str>>,
    /// Position among the reporting entries of the domain, and their number.
    position: Option<(u16, u16)>,
}

impl Placement {
    /// Returns a placement without upstreams.
    pub fn new(settings: PlacementSettings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let fleet_demand = settings.demand.clone().map(FleetDemand::new);
        Self {
            settings,
            rng,
            candidates: IndexMap::new(),
            services: IndexMap::new(),
            domains: IndexMap::new(),
            suspicion_changes: Vec::new(),
            observations: ObservationLog::default(),
            unanswered: UnansweredLog::default(),
            fleet_slowness: IndexMap::new(),
            permits: Permits::default(),
            fleet_demand,
            own_domain: None,
            position: None,
        }
    }

    /// Replaces the upstreams that may get new flows.
    ///
    /// The state of upstreams that stay is kept, and so is that of removed ones while
    /// they have open flows.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = Target>) {
        for candidate in self.candidates.values_mut() {
            candidate.is_eligible = false;
        }
        for service in self.services.values_mut() {
            service.keys.clear();
        }
        for target in targets {
            let name = target.service.clone();
            let service = self.services.entry(name).or_default();
            service.keys.insert(target.key);
            let entry = self.domains.entry(target.domain.clone());
            let domain = entry.index();
            entry.or_default();
            if target.is_local && self.own_domain.as_ref() != Some(&target.domain) {
                self.own_domain = Some(target.domain.clone());
            }
            match self.candidates.get_mut(&target.key) {
                Some(candidate) => {
                    candidate.target = target;
                    candidate.domain = domain;
                    candidate.is_eligible = true;
                }
                None => {
                    let mut candidate = Candidate::new(target, domain);
                    if let Some(slowness) = self.fleet_slowness.get(&candidate.target.key) {
                        candidate.fleet_slowness = *slowness;
                    }
                    self.candidates.insert(candidate.target.key, candidate);
                }
            }
        }
        self.candidates.retain(|_, c| c.is_eligible || c.flows > 0);
        if self.fleet_demand.is_some() {
            for service in self.services.values_mut() {
                let keys = service.keys.iter();
                let ordered = keys.map(|key| (self.candidates[key].domain, *key));
                service.ordered = ordered.collect();
                service.ordered.sort_unstable();
            }
        }
        let candidates = &self.candidates;
        self.services.retain(|name, service| {
            !service.keys.is_empty() || candidates.values().any(|c| c.target.service == *name)
        });
    }

    /// Applies changes of what the fleet observes of upstreams.
    pub fn update_fleet_slowness(&mut self, changes: &[SlowUpstream]) {
        for change in changes {
            let slowness = f64::from(change.slowness);
            if change.slowness > NORMAL_SLOWNESS {
                self.fleet_slowness.insert(change.key, slowness);
            } else {
                self.fleet_slowness.swap_remove(&change.key);
            }
            if let Some(candidate) = self.candidates.get_mut(&change.key) {
                candidate.fleet_slowness = slowness;
            }
        }
    }

    /// Returns the upstreams that the fleet observes as slow.
    pub fn fleet_slow(&self) -> impl ExactSizeIterator<Item = TargetKey> {
        self.fleet_slowness.keys().copied()
    }

    /// Returns and removes what was observed of upstreams since the last call.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        self.observations.take()
    }

    /// Returns the log of unanswered first packets that the fleet is told of soon.
    pub fn unanswered(&mut self) -> &mut UnansweredLog {
        &mut self.unanswered
    }

    /// Sets which upstreams get new flows only with a permit while they are cold.
    pub fn set_limited(&mut self, keys: impl IntoIterator<Item = TargetKey>) {
        self.permits.limited = keys.into_iter().collect();
    }

    /// Sets which of the limited upstreams the next flow may be placed on.
    pub fn set_permitted(&mut self, keys: impl IntoIterator<Item = TargetKey>) {
        self.permits.permitted.clear();
        self.permits.permitted.extend(keys);
    }

    /// Returns the service of an upstream.
    pub fn service_of(&self, key: TargetKey) -> Option<&str> {
        let candidate = self.candidates.get(&key)?;
        Some(&candidate.target.service)
    }

    /// Sets a later time at which an upstream is warm. An earlier one is ignored.
    pub fn extend_warmup(&mut self, key: TargetKey, warm_at: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&key) {
            let target = &mut candidate.target;
            target.warm_at = target.warm_at.max(warm_at);
        }
    }

    /// Chooses an upstream for a new flow, and counts the flow as open there.
    ///
    /// Upstreams that the flow has tried are chosen only when there are no others.
    ///
    /// # Errors
    ///
    /// Returns an error when the service has no upstream or is overloaded.
    pub fn place(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Result<Placed, Refusal> {
        self.update_shares(now, request);
        let domain = self.draw_domain(request.service);
        let (chosen, (health, load)) = domain
            .and_then(|domain| self.choose(now, request.service, request.tried, Some(domain)))
            .filter(|(_, (health, _))| *health == Health::Healthy)
            .or_else(|| self.choose(now, request.service, request.tried, None))
            .or_else(|| self.choose(now, request.service, &[], None))
            .ok_or_else(|| self.refusal(request.service))?;
        let service = &mut self.services[request.service];
        // Without shares, the entry decides by these statistics, which are always updated.
        let mut overload = service
            .admission
            .check_overload(now, request, &self.settings.admission);
        if domain.is_some() {
            overload = self.check_shares(now, request);
        }
        let service = &mut self.services[request.service];
        if let Some(overload) = overload.filter(|_| request.may_refuse) {
            return Err(Refusal::Overloaded(overload));
        }
        service.admission.record_open(request.priority);
        service.recent_priorities.push(request.priority);
        let candidate = &mut self.candidates[&chosen];
        candidate.flows += 1;
        candidate.suspicion.record_first_packet();
        self.domains[candidate.domain]
            .suspicion
            .record_first_packet();
        Ok(Placed {
            key: chosen,
            flows: candidate.flows,
            load,
            is_unhealthy: health != Health::Healthy,
        })
    }

    /// Returns why no upstream of a service can be chosen.
    fn refusal(&self, service: &str) -> Refusal {
        match self.services.get(service) {
            Some(service) if !service.keys.is_empty() => Refusal::OnlyCold,
            _ => Refusal::NoUpstream,
        }
    }

    /// Returns the best upstream of a service outside of `tried`, and its rank. When a
    /// failure domain is given, it is one of that domain.
    fn choose(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[TargetKey],
        domain: Option<usize>,
    ) -> Option<(TargetKey, Rank)> {
        let Service {
            keys,
            sharing,
            domain_preference,
            ..
        } = self.services.get(service)?;
        let shares = sharing.shares();
        let is_shared = shares.is_some() && self.position.is_some();
        let is_full = is_shared && shares.is_some_and(|shares| shares.load >= 1.0);
        let probe_share = if shares.is_some() {
            self.settings.sharing.probe_share
        } else {
            self.settings.probe_share
        };
        let is_probe = self.has_slow_upstreams(domain) && self.rng.random_bool(probe_share);
        let preferred_part = domain_preference.part();
        // Shares divide the flows over domains where the demand of all entries is known.
        let prefers_own_domain = self.fleet_demand.is_some()
            || preferred_part >= 1.0
            || self.rng.random_bool(preferred_part);
        let mut best: Option<Rank> = None;
        let mut chosen = None;
        let mut ties = 0;
        for key in keys.iter().filter(|key| !tried.contains(key)) {
            let candidate = &self.candidates[key];
            if domain.is_some_and(|domain| domain != candidate.domain) {
                continue;
            }
            let needs_permit = self.permits.needs_permit(now, &candidate.target);
            if needs_permit && !self.permits.permitted.contains(key) {
                continue;
            }
            let health = self.health(now, candidate);
            let fills_slot = is_full && candidate.has_reserved_slot(&self.settings);
            let mut load = if needs_permit {
                candidate.load_with_permit(now, is_probe, &self.settings)
            } else if fills_slot {
                f64::from(candidate.flows + 1) / f64::from(candidate.target.slots)
            } else {
                candidate.load_with_one_more(now, is_probe, prefers_own_domain, &self.settings)
            };
            if is_shared && !is_probe {
                let penalty = self.settings.sharing.unreserved_penalty;
                load += penalty * (1.0 - candidate.reserved) * candidate.fleet_slowness;
            }
            let rank = (health, load);
            if best.is_some_and(|best| rank > best) {
                continue;
            }
            // Reservoir sampling: each upstream of equal rank has the same probability.
            ties = if best == Some(rank) { ties + 1 } else { 1 };
            if self.rng.random_range(0..ties) == 0 {
                chosen = Some(*key);
            }
            best = Some(rank);
        }
        chosen.zip(best)
    }

    /// Tells whether the fleet observes upstreams as slow, in a failure domain if one is given.
    /// Probes without need would only miss the slots that are reserved for this entry.
    fn has_slow_upstreams(&self, domain: Option<usize>) -> bool {
        let Some(domain) = domain else {
            return !self.fleet_slowness.is_empty();
        };
        let slow = self.fleet_slowness.keys();
        let mut candidates = slow.filter_map(|key| self.candidates.get(key));
        candidates.any(|candidate| candidate.domain == domain)
    }

    /// Returns the health of an upstream, in which its domain counts, too.
    fn health(&self, now: Instant, candidate: &Candidate) -> Health {
        let domain = &self.domains[candidate.domain];
        if !candidate.target.is_reporting {
            Health::NotReporting
        } else if candidate.suspicion.is_active(now) || domain.suspicion.is_active(now) {
            Health::Suspect
        } else {
            Health::Healthy
        }
    }

    /// Records how long the handshake of a flow took, of which the answer is recorded, too.
    pub fn record_handshake_time(&mut self, key: TargetKey, time: Duration) {
        if let Some(candidate) = self.candidates.get_mut(&key) {
            candidate.record_handshake_time(time);
        }
    }

    /// Records that an upstream answered the first packet of a flow.
    pub fn record_answer(&mut self, now: Instant, key: TargetKey) {
        self.settle_first_packet(key);
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return;
        };
        let domain = candidate.domain;
        if candidate.record_answer(now) {
            self.push_change(Suspect::Upstream(key), None);
        }
        if self.domains[domain].record_answer() {
            self.push_domain_change(domain, None);
        }
    }

    /// Adds a suspicion that lasts until `until`, or has ended when there is none.
    fn push_change(&mut self, suspect: Suspect, until: Option<Instant>) {
        if self.suspicion_changes.len() >= MAX_SUSPICION_CHANGES {
            self.suspicion_changes.remove(0);
        }
        self.suspicion_changes
            .push(SuspicionChange { suspect, until });
    }

    fn push_domain_change(&mut self, domain: usize, until: Option<Instant>) {
        if let Some((name, _)) = self.domains.get_index(domain) {
            self.push_change(Suspect::Domain(name.clone()), until);
        }
    }

    /// Returns and removes the suspicions that started or ended since the last call.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        mem::take(&mut self.suspicion_changes)
    }

    /// Counts a first packet as answered or given up at its upstream and domain.
    fn settle_first_packet(&mut self, key: TargetKey) {
        if let Some(candidate) = self.candidates.get_mut(&key) {
            candidate.suspicion.settle_first_packet();
            self.domains[candidate.domain]
                .suspicion
                .settle_first_packet();
        }
    }

    /// Records that a first packet sent at `sent` was not answered, and removes the
    /// flow from the upstream.
    ///
    /// The upstream becomes suspect unless it has answered another flow since then.
    pub fn record_no_answer(
        &mut self,
        now: Instant,
        key: TargetKey,
        priority: Priority,
        sent: Instant,
    ) {
        if let Some(candidate) = self.candidates.get_mut(&key)
            && !candidate.has_answered_since(sent)
        {
            let slowness = self.settings.max_slowness;
            self.observations.record(key, slowness, Duration::ZERO);
            let domain = candidate.domain;
            let until = candidate.suspicion.raise(now, &self.settings);
            if until.is_some() {
                self.push_change(Suspect::Upstream(key), until);
            }
            let until = self.domains[domain].record_no_answer(now, key, &self.settings);
            if until.is_some() {
                self.push_domain_change(domain, until);
            }
        }
        self.cancel(key, priority);
    }

    /// Records that a first packet sent at `sent` has no answer yet after a multiple of the
    /// usual time. If several entries report this, the fleet avoids the upstream; this entry
    /// does so itself once the caller retransmits.
    pub fn record_late_answer(&mut self, key: TargetKey, sent: Instant) {
        let candidate = self.candidates.get(&key);
        if candidate.is_some_and(|candidate| !candidate.has_answered_since(sent)) {
            self.unanswered.record(key);
        }
    }

    /// Removes a placed flow of which no answer will be recorded.
    pub fn cancel(&mut self, key: TargetKey, priority: Priority) {
        self.settle_first_packet(key);
        self.release(key, priority);
    }

    /// Records the end of an answered flow. `duration` is the time since its first
    /// packet.
    pub fn record_end(
        &mut self,
        now: Instant,
        key: TargetKey,
        priority: Priority,
        duration: Duration,
    ) {
        if let Some(candidate) = self.candidates.get(&key)
            && let Some(service) = self.services.get_mut(&candidate.target.service)
        {
            let flow = EndedFlow {
                priority,
                duration,
                is_local: candidate.target.is_local,
                is_at_slow_upstream: candidate.fleet_slowness > 1.0,
            };
            service.record_end(now, &flow, &self.settings);
        }
        self.redraw_rounding(key);
        let reference = self.reference_duration(key);
        if let (Some(reference), Some(candidate)) = (reference, self.candidates.get_mut(&key)) {
            let duration_ratio = duration.as_secs_f64() / reference.as_secs_f64().max(f64::EPSILON);
            let slowness = flow_slowness(duration_ratio, &self.settings);
            candidate.record_slowness(now, slowness, &self.settings);
            let mut observed = (slowness, duration);
            if self.fleet_demand.is_some()
                && duration_ratio >= self.settings.admission.refused_baseline_factor
            {
                let slot_time = candidate.slot_time(duration);
                let work_time = slot_time.mul_f64(candidate.relative_speed(now, &self.settings));
                if let Some(service) = self.services.get_mut(&candidate.target.service) {
                    service.record_work(now, work_time, &self.settings.sharing);
                    // In comparison with the work, times in queues can be left out where
                    // most flows are those of the own domain.
                    if let Some(shares) = service.sharing.shares()
                        && candidate.target.is_local
                    {
                        let ratio = slot_time.as_secs_f64() * 1_000.0 / shares.work_ms;
                        observed = (ratio.min(self.settings.max_slowness), slot_time);
                    }
                }
            }
            // The fleet's threshold is for upstreams at their full speed.
            let slowness = observed.0 * candidate.speed(now, &self.settings);
            let busy = observed.1 / candidate.target.slots.max(1);
            self.observations.record(key, slowness, busy);
        }
        self.remove_flow(key);
    }

    /// Returns the median duration of the last flows of a service, once enough have ended.
    pub fn recent_duration(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.recent_durations.median()
    }

    /// Returns the usual duration of flows at the service of an upstream, once enough have
    /// ended.
    pub fn reference_duration(&mut self, key: TargetKey) -> Option<Duration> {
        let service = self.service(key)?;
        let reference = service.admission.reference_duration();
        reference.or_else(|| service.recent_durations.median())
    }

    /// Records that an answered flow lasts far longer than usual. It counts like a failed
    /// one, as its caller is not served in time whenever it ends.
    pub fn record_overdue(&mut self, now: Instant, key: TargetKey) {
        let slowness = self.settings.max_slowness;
        if let Some(candidate) = self.candidates.get_mut(&key) {
            candidate.record_slowness(now, slowness, &self.settings);
            self.observations.record(key, slowness, Duration::ZERO);
        }
    }

    /// Removes an answered flow whose end this entry did not see.
    pub fn release(&mut self, key: TargetKey, priority: Priority) {
        if let Some(service) = self.service(key) {
            service.admission.record_cancel(priority);
        }
        self.remove_flow(key);
    }

    /// Returns the state of an upstream's service.
    fn service(&mut self, key: TargetKey) -> Option<&mut Service> {
        let name = &self.candidates.get(&key)?.target.service;
        self.services.get_mut(name)
    }

    /// Counts a flow as closed, and drops an upstream that was removed and has no
    /// more flows.
    fn remove_flow(&mut self, key: TargetKey) {
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return;
        };
        candidate.flows = candidate.flows.saturating_sub(1);
        if candidate.flows == 0 && !candidate.is_eligible {
            self.candidates.swap_remove(&key);
        }
    }

    /// Returns the state of the admission of each service's flows.
    pub fn admission_states(&self) -> impl Iterator<Item = (&str, AdmissionState)> {
        self.services.iter().map(|(name, service)| {
            let state = AdmissionState {
                flow_window: service.admission.window_size(&self.settings.admission),
                domain_preference: service.domain_preference.part(),
            };
            (&**name, state)
        })
    }

    /// Returns the upstream with the given key.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.candidates.get(&key).map(|c| &c.target)
    }

    /// Returns the number of flows that this entry has open at an upstream.
    pub fn open_flows(&self, key: TargetKey) -> u32 {
        self.candidates.get(&key).map_or(0, |c| c.flows)
    }

    /// Returns the number of flows that this entry has open in a failure domain.
    pub fn open_flows_in(&self, domain: &str) -> u32 {
        let in_domain = self.candidates.values();
        let in_domain = in_domain.filter(|c| &*c.target.domain == domain);
        in_domain.map(|c| c.flows).sum()
    }
}
