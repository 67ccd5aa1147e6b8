//! Admission, the queue and the choice of an upstream.

use std::time::{Duration, Instant};

use currantgate_config::{ServiceId, UpstreamId};
use rand::RngExt as _;

use super::Dispatcher;
use crate::request::{Request, RequestStage};
use crate::{NotRunReason, Repeatability, RequestId};

/// How many times longer than the fastest free upstream one may take to answer
/// before it gets work only when no faster one is free.
const SLOW_FACTOR: f64 = 3.0;

impl Dispatcher {
    pub(super) fn arrive(
        &mut self,
        now: Instant,
        id: RequestId,
        service: ServiceId,
        deadline: Instant,
        repeatability: Repeatability,
    ) {
        let request = Request {
            service,
            deadline,
            repeatability,
            stage: RequestStage::Queued,
            sent: 0,
            graceful_closes: 0,
            may_have_run: false,
            has_body: true,
        };
        if self.requests.contains_key(&id) {
            return;
        }
        self.requests.insert(id, request);
        self.deadlines.insert((deadline, id));
        if let Err(reason) = self.admit(now, service, deadline) {
            self.give_up(now, id, reason);
            return;
        }
        self.enqueue(now, id);
    }

    /// Puts a request into its service's queue and fills free slots.
    pub(super) fn enqueue(&mut self, now: Instant, id: RequestId) {
        let request = &mut self.requests[&id];
        request.stage = RequestStage::Queued;
        let (service, deadline) = (request.service, request.deadline);
        if let Some(service) = self.services.get_mut(&service) {
            service.queue.insert(deadline, id);
        }
        self.pump(now, service);
    }

    fn admit(
        &self,
        now: Instant,
        service: ServiceId,
        deadline: Instant,
    ) -> Result<(), NotRunReason> {
        if self.draining {
            return Err(NotRunReason::Draining);
        }
        if deadline <= now {
            return Err(NotRunReason::Expired);
        }
        let Some(known) = self.services.get(&service) else {
            return Err(NotRunReason::NoUpstream);
        };
        if known.upstreams.is_empty() {
            return Err(NotRunReason::NoUpstream);
        }
        if known.queue.len() >= self.settings.max_queued {
            return Err(NotRunReason::Overloaded);
        }
        let ahead = known.queue.ahead_of(deadline);
        let wait = self.expected_wait(now, service, ahead);
        if now + wait + self.response_time(now, service) > deadline {
            return Err(NotRunReason::Overloaded);
        }
        Ok(())
    }

    /// Returns how long a request waits behind `ahead` others.
    pub(super) fn expected_wait(&self, now: Instant, service: ServiceId, ahead: usize) -> Duration {
        let service = &self.services[&service];
        let slots: usize = service
            .upstreams
            .iter()
            .map(|id| &self.upstreams[id])
            .filter(|upstream| upstream.circuit.is_closed())
            .map(|upstream| upstream.limit.get())
            .sum();
        let seconds = ahead as f64 * service.slot_hold_time.seconds_at(now) / slots.max(1) as f64;
        Duration::from_secs_f64(seconds)
    }

    fn response_time(&self, now: Instant, service: ServiceId) -> Duration {
        Duration::from_secs_f64(self.services[&service].response_time.seconds_at(now))
    }

    /// Gives free slots to waiting requests, the earliest deadline first.
    pub(super) fn pump(&mut self, now: Instant, service: ServiceId) {
        if !self.services.contains_key(&service) {
            return;
        }
        while let Some((deadline, request)) = self.services[&service].queue.first() {
            if now + self.response_time(now, service) >= deadline {
                self.give_up(now, request, NotRunReason::Expired);
                continue;
            }
            let Some(upstream) = self.choose(now, service) else {
                break;
            };
            self.services[&service].queue.remove(deadline, request);
            self.start(now, request, upstream);
        }
        self.clear_hopeless(now, service);
    }

    /// Rejects what waits while every upstream of the service is failing:
    /// probes alone would keep it waiting until its deadline.
    fn clear_hopeless(&mut self, now: Instant, service: ServiceId) {
        let known = &self.services[&service];
        let mut upstreams = known.upstreams.iter().map(|id| &self.upstreams[id]);
        if upstreams.any(|upstream| upstream.circuit.is_closed()) {
            return;
        }
        let waiting: Vec<_> = known.queue.iter().collect();
        for request in waiting {
            self.give_up(now, request, NotRunReason::NoUpstream);
        }
    }

    /// Keeps those upstreams that answer about as fast as the fastest of them.
    fn without_slow(&self, now: Instant, free: Vec<UpstreamId>) -> Vec<UpstreamId> {
        let latency = |id: &UpstreamId| self.upstreams[id].expected_latency(now);
        let fastest = free.iter().map(latency).fold(f64::MAX, f64::min);
        free.into_iter()
            .filter(|id| latency(id) <= fastest * SLOW_FACTOR)
            .collect()
    }

    /// Chooses the better of two upstreams drawn at random from those with a
    /// free slot, by what was observed here.
    fn choose(&mut self, now: Instant, service: ServiceId) -> Option<UpstreamId> {
        let known = &self.services[&service];
        let free: Vec<_> = known
            .upstreams
            .iter()
            .copied()
            .filter(|id| self.upstreams[id].admits(now))
            .collect();
        let free = self.without_slow(now, free);
        if free.len() < 2 {
            return free.first().copied();
        }
        let i = self.rng.random_range(0..free.len());
        let j = (i + self.rng.random_range(1..free.len())) % free.len();
        let (a, b) = (free[i], free[j]);
        let cheaper = self.upstreams[&a].cost(now) <= self.upstreams[&b].cost(now);
        Some(if cheaper { a } else { b })
    }
}
