//! The choice of an upstream for a new flow.

use std::mem;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::admission::Admission;
use crate::candidate::{Candidate, Trust};
use crate::domain::Domain;
use crate::service::Service;
use crate::{
    Placed, PlacementRequest, PlacementSettings, Priority, Refusal, Suspect, SuspicionChange,
    Target, TargetKey,
};

/// The most doubts that are kept until they are asked for; older ones are let go.
const MAX_UNTOLD: usize = 256;

/// What upstreams are compared by; the smallest takes a flow.
type Rank = (Trust, f64);

/// Chooses an upstream for each new flow.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    rng: ChaCha8Rng,
    candidates: IndexMap<TargetKey, Candidate>,
    services: IndexMap<Box<str>, Service>,
    domains: IndexMap<Box<str>, Domain>,
    /// Doubts that were raised or ended and not told yet.
    doubts: Vec<SuspicionChange>,
}

impl Placement {
    /// Starts without upstreams.
    pub fn new(settings: PlacementSettings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            settings,
            rng,
            candidates: IndexMap::new(),
            services: IndexMap::new(),
            domains: IndexMap::new(),
            doubts: Vec::new(),
        }
    }

    /// Replaces the upstreams that may get new flows; what is known of the
    /// load of those that stay is kept.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = Target>) {
        for candidate in self.candidates.values_mut() {
            candidate.is_open = false;
        }
        for service in self.services.values_mut() {
            service.keys.clear();
        }
        for target in targets {
            let name = target.service.clone();
            let service = self.services.entry(name).or_default();
            service.keys.insert(target.key);
            let known = self.domains.entry(target.domain.clone());
            let domain = known.index();
            known.or_default();
            match self.candidates.get_mut(&target.key) {
                Some(candidate) => {
                    candidate.target = target;
                    candidate.domain = domain;
                    candidate.is_open = true;
                }
                None => {
                    let candidate = Candidate::new(target, domain);
                    self.candidates.insert(candidate.target.key, candidate);
                }
            }
        }
        self.candidates.retain(|_, c| c.is_open || c.flows > 0);
        let candidates = &self.candidates;
        self.services.retain(|name, service| {
            !service.keys.is_empty() || candidates.values().any(|c| c.target.service == *name)
        });
    }

    /// Chooses an upstream for a new flow, and counts the flow there.
    ///
    /// # Errors
    ///
    /// Returns why no upstream takes the flow.
    pub fn place(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Result<Placed, Refusal> {
        let (chosen, (trust, load)) = self
            .choose(now, request.service, request.tried)
            .or_else(|| self.choose(now, request.service, &[]))
            .ok_or(Refusal::NoUpstream)?;
        let service = &mut self.services[request.service];
        let overload = service
            .admission
            .check_overload(now, request, &self.settings.admission);
        if let Some(overload) = overload.filter(|_| request.may_refuse) {
            return Err(Refusal::Overloaded(overload));
        }
        service.admission.record_open(request.priority);
        let candidate = &mut self.candidates[&chosen];
        candidate.flows += 1;
        candidate.suspicion.note_opening();
        self.domains[candidate.domain].suspicion.note_opening();
        Ok(Placed {
            key: chosen,
            flows: candidate.flows,
            load,
            is_unhealthy: trust != Trust::Good,
        })
    }

    fn choose(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[TargetKey],
    ) -> Option<(TargetKey, Rank)> {
        let keys = &self.services.get(service)?.keys;
        let mut best: Option<Rank> = None;
        let mut chosen = None;
        let mut equals = 0;
        for key in keys.iter().filter(|key| !tried.contains(key)) {
            let candidate = &self.candidates[key];
            let trust = self.trust(now, candidate);
            let rank = (trust, candidate.load_with_one_more(now, &self.settings));
            if best.is_some_and(|best| rank > best) {
                continue;
            }
            // Each of several equals gets the same chance.
            equals = if best == Some(rank) { equals + 1 } else { 1 };
            if self.rng.random_range(0..equals) == 0 {
                chosen = Some(*key);
            }
            best = Some(rank);
        }
        chosen.zip(best)
    }

    fn trust(&self, now: Instant, candidate: &Candidate) -> Trust {
        let domain = &self.domains[candidate.domain];
        if !candidate.target.is_reporting {
            Trust::Unheard
        } else if candidate.suspicion.holds(now) || domain.suspicion.holds(now) {
            Trust::Suspect
        } else {
            Trust::Good
        }
    }

    /// Notes that the upstream answered a flow's first packet.
    pub fn record_answer(&mut self, now: Instant, key: TargetKey) {
        self.settle_opening(key);
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return;
        };
        let domain = candidate.domain;
        if candidate.note_answer(now) {
            self.tell(Suspect::Upstream(key), None);
        }
        if self.domains[domain].note_answer() {
            self.tell_of_domain(domain, None);
        }
    }

    fn tell(&mut self, suspect: Suspect, until: Option<Instant>) {
        if self.doubts.len() >= MAX_UNTOLD {
            self.doubts.remove(0);
        }
        self.doubts.push(SuspicionChange { suspect, until });
    }

    fn tell_of_domain(&mut self, domain: usize, until: Option<Instant>) {
        if let Some((name, _)) = self.domains.get_index(domain) {
            self.tell(Suspect::Domain(name.clone()), until);
        }
    }

    /// Returns the doubts that were raised or ended since it was last asked.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        mem::take(&mut self.doubts)
    }

    fn settle_opening(&mut self, key: TargetKey) {
        if let Some(candidate) = self.candidates.get_mut(&key) {
            candidate.suspicion.note_settled();
            self.domains[candidate.domain].suspicion.note_settled();
        }
    }

    /// Notes that a first packet sent at `sent` is unanswered, and takes the
    /// flow off the upstream.
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
            let domain = candidate.domain;
            let until = candidate.suspicion.raise(now, &self.settings);
            if until.is_some() {
                self.tell(Suspect::Upstream(key), until);
            }
            let until = self.domains[domain].note_silence(now, key, &self.settings);
            if until.is_some() {
                self.tell_of_domain(domain, until);
            }
        }
        self.cancel(key, priority);
    }

    /// Takes back a flow that was placed and not sent.
    pub fn cancel(&mut self, key: TargetKey, priority: Priority) {
        self.settle_opening(key);
        self.release(key, priority);
    }

    /// Notes that a flow has ended that was answered, and how long it took from
    /// its first packet.
    pub fn record_end(&mut self, now: Instant, key: TargetKey, priority: Priority, took: Duration) {
        let most = self.settings.admission.max_samples;
        let usual = self.admission(key).and_then(|admission| {
            admission.record_end(now, priority, took, most);
            admission.reference_duration()
        });
        if let (Some(usual), Some(candidate)) = (usual, self.candidates.get_mut(&key)) {
            let times_usual = took.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
            candidate.note_pace(now, times_usual, &self.settings);
        }
        self.take_off(key);
    }

    /// Lets go of a flow that was answered and whose end this entry has not seen.
    pub fn release(&mut self, key: TargetKey, priority: Priority) {
        if let Some(admission) = self.admission(key) {
            admission.record_cancel(priority);
        }
        self.take_off(key);
    }

    fn admission(&mut self, key: TargetKey) -> Option<&mut Admission> {
        let service = &self.candidates.get(&key)?.target.service;
        let service = self.services.get_mut(service)?;
        Some(&mut service.admission)
    }

    fn take_off(&mut self, key: TargetKey) {
        let Some(candidate) = self.candidates.get_mut(&key) else {
            return;
        };
        candidate.flows = candidate.flows.saturating_sub(1);
        if candidate.flows == 0 && !candidate.is_open {
            self.candidates.swap_remove(&key);
        }
    }

    /// Returns the flows that are open at an upstream.
    pub fn open_flows(&self, key: TargetKey) -> u32 {
        self.candidates.get(&key).map_or(0, |c| c.flows)
    }
}
