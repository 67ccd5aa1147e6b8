//! Admission control, dispatch of the queue and load balancing.

use std::time::{Duration, Instant};

use currantgate_config::{ServiceId, UpstreamId};
use rand::RngExt as _;

use super::Dispatcher;
use crate::request::{Request, RequestStage};
use crate::{NotRunReason, Repeatability, RequestId};

/// Factor over the expected latency of the fastest available upstream above which
/// an upstream is used only when no faster one is available.
const SLOW_FACTOR: f64 = 3.0;

impl Dispatcher {
    pub(super) fn on_arrival(
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
        if let Err(reason) = self.check_admission(now, service, deadline) {
            self.reject_unassigned(now, id, reason);
            return;
        }
        self.enqueue(now, id);
    }

    /// Adds a request to the queue of its service and dispatches what can be sent.
    pub(super) fn enqueue(&mut self, now: Instant, id: RequestId) {
        let request = &mut self.requests[&id];
        request.stage = RequestStage::Queued;
        let (service, deadline) = (request.service, request.deadline);
        if let Some(service) = self.services.get_mut(&service) {
            service.queue.insert(deadline, id);
        }
        self.dispatch_queued(now, service);
    }

    fn check_admission(
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
        let Some(state) = self.services.get(&service) else {
            return Err(NotRunReason::NoUpstream);
        };
        if state.upstreams.is_empty() {
            return Err(NotRunReason::NoUpstream);
        }
        if state.queue.len() >= self.settings.max_queued {
            return Err(NotRunReason::Overloaded);
        }
        let ahead = state.queue.ahead_of(deadline);
        let wait = self.expected_wait(now, service, ahead);
        if now + wait + self.response_time(now, service) > deadline {
            return Err(NotRunReason::Overloaded);
        }
        Ok(())
    }

    /// Returns the expected time that a request waits behind `ahead` others, based on
    /// the slots of the upstreams with a closed circuit.
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

    /// Assigns free slots to queued requests, the earliest deadline first, and rejects
    /// requests that can't be answered before their deadline.
    pub(super) fn dispatch_queued(&mut self, now: Instant, service: ServiceId) {
        if !self.services.contains_key(&service) {
            return;
        }
        while let Some((deadline, request)) = self.services[&service].queue.first() {
            if now + self.response_time(now, service) >= deadline {
                self.reject_unassigned(now, request, NotRunReason::Expired);
                continue;
            }
            let Some(upstream) = self.choose_upstream(now, service) else {
                break;
            };
            self.services[&service].queue.remove(deadline, request);
            self.start_attempt(now, request, upstream);
        }
        self.reject_if_no_closed_circuit(now, service);
    }

    /// Rejects all queued requests while no upstream of the service has a closed circuit:
    /// probes alone would leave them queued until their deadlines.
    fn reject_if_no_closed_circuit(&mut self, now: Instant, service: ServiceId) {
        let state = &self.services[&service];
        let mut upstreams = state.upstreams.iter().map(|id| &self.upstreams[id]);
        if upstreams.any(|upstream| upstream.circuit.is_closed()) {
            return;
        }
        let queued: Vec<_> = state.queue.iter().collect();
        for request in queued {
            self.reject_unassigned(now, request, NotRunReason::NoUpstream);
        }
    }

    /// Returns the upstreams whose expected latency is within [`SLOW_FACTOR`] of the fastest.
    fn exclude_slow(&self, now: Instant, free: Vec<UpstreamId>) -> Vec<UpstreamId> {
        let latency = |id: &UpstreamId| self.upstreams[id].expected_latency(now);
        let fastest = free.iter().map(latency).fold(f64::MAX, f64::min);
        free.into_iter()
            .filter(|id| latency(id) <= fastest * SLOW_FACTOR)
            .collect()
    }

    /// Chooses between two random upstreams with a free slot (power of two choices)
    /// by their cost, which is based on latencies observed by this relay alone.
    fn choose_upstream(&mut self, now: Instant, service: ServiceId) -> Option<UpstreamId> {
        let state = &self.services[&service];
        let free: Vec<_> = state
            .upstreams
            .iter()
            .copied()
            .filter(|id| self.upstreams[id].admits(now))
            .collect();
        let free = self.exclude_slow(now, free);
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
