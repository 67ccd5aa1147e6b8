//! Decisions about the flows that wait.

use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Instant;

use indexmap::IndexMap;

use super::departure_rate::DepartureRate;
use super::{
    Departure, DepartureReason, LateFlow, WaitEstimate, WaitingAdmission, WaitingFlow,
    WaitingQueue, WaitingSettings,
};
use crate::{Placement, PlacementRequest, Refusal};

/// The first packet of a new flow.
struct Arrival<'a, K> {
    now: Instant,
    request: &'a PlacementRequest<'a>,
    key: K,
    /// Length of the packet.
    bytes: usize,
}

/// Decides which flows wait and when they leave. `K` identifies a flow.
#[derive(Clone, Debug)]
pub struct WaitingFlows<K> {
    settings: WaitingSettings,
    queue: WaitingQueue<K>,
    /// Flows that can't be answered within their latency target any more. They leave when no
    /// other flow waits and slots are idle.
    late: WaitingQueue<K>,
    /// Flows that were displaced and have not been returned yet.
    displaced: VecDeque<WaitingFlow<K>>,
    /// Services of which a flow leaves though the entry is at its limit.
    beyond_limit: VecDeque<Box<str>>,
    /// Rates of the services of which flows wait.
    rates: IndexMap<Box<str>, DepartureRate>,
}

impl<K: Copy + Eq + Hash> WaitingFlows<K> {
    /// Returns an empty queue.
    pub fn new(settings: WaitingSettings) -> Self {
        Self {
            settings,
            queue: WaitingQueue::default(),
            late: WaitingQueue::default(),
            displaced: VecDeque::new(),
            beyond_limit: VecDeque::new(),
            rates: IndexMap::new(),
        }
    }

    /// Returns the number of flows that wait.
    pub fn len(&self) -> usize {
        self.queue.len() + self.late.len()
    }

    /// Tells whether no flow waits and none is left to be refused.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.late.is_empty() && self.displaced.is_empty()
    }

    /// Records a retransmission of the first packet of a flow; tells whether the flow waits, or
    /// was displaced and is not refused yet.
    pub fn record_retransmission(&mut self, key: &K) -> bool {
        let displaced = self.displaced.iter_mut().find(|flow| flow.key == *key);
        let late = self.late.get_mut(key);
        let flow = self.queue.get_mut(key).or(late).or(displaced);
        flow.map(|flow| flow.is_retransmitted = true).is_some()
    }

    /// Places a new flow, lets it wait or refuses it. `bytes` is the length of its first
    /// packet.
    ///
    /// A flow does not overtake another one of its service that waits, unless its priority
    /// is higher.
    pub fn place(
        &mut self,
        now: Instant,
        placement: &mut Placement,
        request: &PlacementRequest<'_>,
        key: K,
        bytes: usize,
    ) -> WaitingAdmission {
        let arrival = Arrival {
            now,
            request,
            key,
            bytes,
        };
        let admission = self.place_or_wait(placement, &arrival);
        if !self.queue.has_service(request.service) {
            self.rates.swap_remove(request.service);
        } else if let WaitingAdmission::Placed(_) = admission {
            self.record_placed(now, request.service);
        }
        admission
    }

    /// Places a flow that can't be answered within its latency target any more, or lets it
    /// wait for idle slots until its caller gives up.
    ///
    /// It answers the load after an outage, when the copies that callers have sent meanwhile
    /// arrive together with new flows: a copy would take a slot from a flow that can still
    /// be answered in time. Served late, it is of some value to its caller, so that it is
    /// neither refused nor left out.
    pub fn place_late(
        &mut self,
        now: Instant,
        placement: &mut Placement,
        request: &PlacementRequest<'_>,
        late: LateFlow<K>,
    ) -> WaitingAdmission {
        let has_place = !self.late.has_service(request.service)
            && placement.has_room_for_late(request.service, request.latency_target);
        if has_place {
            return placement
                .place(now, request)
                .map_or_else(WaitingAdmission::Refused, WaitingAdmission::Placed);
        }
        let flow = WaitingFlow {
            key: late.key,
            service: request.service.into(),
            priority: request.priority,
            latency_target: request.latency_target,
            bytes: late.bytes,
            arrived: now,
            deadline: late.given_up_at,
            is_late: true,
            is_retransmitted: false,
        };
        match self.late.push(flow, &self.settings) {
            Ok(displaced) => {
                self.displaced.extend(displaced);
                WaitingAdmission::Waits
            }
            Err(_) => WaitingAdmission::NoPlace,
        }
    }

    /// Counts a flow that is placed while others of its service wait.
    fn record_placed(&mut self, now: Instant, service: &str) {
        if !self.rates.contains_key(service) {
            self.rates.insert(service.into(), DepartureRate::default());
        }
        self.rates[service].record(now);
    }

    /// Returns the part of the latency target within which an answer must be expected for a
    /// flow to wait.
    ///
    /// Near the capacity of the fleet, a wait bridges the time until a slot is free. Far above
    /// it the queue stays full however long it is, and long waits only make all answers late.
    fn expected_factor(&self, load: f64) -> f64 {
        let settings = &self.settings;
        let range = settings.overload - settings.full_load;
        let weight = ((load - settings.full_load) / range).clamp(0.0, 1.0);
        let factors = settings.expected_factor - settings.overload_expected_factor;
        settings.expected_factor - weight * factors
    }

    fn place_or_wait(
        &mut self,
        placement: &mut Placement,
        arrival: &Arrival<'_, K>,
    ) -> WaitingAdmission {
        let Arrival { now, request, .. } = *arrival;
        let ahead = self.queue.ahead(request.service, request.priority);
        if ahead == 0 {
            return match placement.place(now, request) {
                Ok(placed) => WaitingAdmission::Placed(placed),
                Err(Refusal::Overloaded(_)) if self.try_wait(placement, arrival, ahead) => {
                    placement.cancel_refusal(request.service, request.priority);
                    WaitingAdmission::Waits
                }
                Err(refusal) => WaitingAdmission::Refused(refusal),
            };
        }
        let overload = placement.count_arrival(now, request);
        if self.try_wait(placement, arrival, ahead) {
            return WaitingAdmission::Waits;
        }
        if let Some(overload) = overload {
            placement.record_refusal(request.service, request.priority);
            return WaitingAdmission::Refused(Refusal::Overloaded(overload));
        }
        // No more flows are refused than exceed the fleet's capacity: one is placed beyond
        // the limit. It is the first one that waits, so that none overtakes it.
        if let Some(estimate) = placement.wait_estimate(now, request)
            && self.push(&estimate, arrival)
        {
            self.beyond_limit.push_back(request.service.into());
            return WaitingAdmission::Waits;
        }
        let request = PlacementRequest {
            may_refuse: false,
            ..*request
        };
        match placement.place(now, &request) {
            Ok(placed) => WaitingAdmission::Placed(placed),
            Err(refusal) => WaitingAdmission::Refused(refusal),
        }
    }

    /// Adds a flow to the queue if it is expected to be answered in time and the queue has
    /// a place for it.
    fn try_wait(&mut self, placement: &Placement, arrival: &Arrival<'_, K>, ahead: usize) -> bool {
        let Arrival { now, request, .. } = *arrival;
        let Some(mut estimate) = placement.wait_estimate(now, request) else {
            return false;
        };
        // Durations leave out flows that get no answer. The measured rate includes them.
        let rate = self.rates.get(request.service);
        if let Some(interval) = rate.and_then(|rate| rate.interval(now)) {
            estimate.interval = estimate.interval.max(interval);
        }
        let load = placement.load(request.service);
        let factor = self.expected_factor(load);
        if !estimate.is_in_time(ahead, request.latency_target.mul_f64(factor)) {
            return false;
        }
        self.push(&estimate, arrival)
    }

    /// Adds a flow to the queue if it has a place for it.
    fn push(&mut self, estimate: &WaitEstimate, arrival: &Arrival<'_, K>) -> bool {
        let Arrival {
            now,
            request,
            key,
            bytes,
        } = *arrival;
        let max_wait = estimate.max_wait(request.latency_target, &self.settings);
        let flow = WaitingFlow {
            key,
            service: request.service.into(),
            priority: request.priority,
            latency_target: request.latency_target,
            bytes,
            arrived: now,
            deadline: now + max_wait,
            is_late: false,
            is_retransmitted: false,
        };
        match self.queue.push(flow, &self.settings) {
            Ok(displaced) => {
                self.displaced.extend(displaced);
                true
            }
            Err(_) => false,
        }
    }

    /// Removes and returns the next flow that leaves the queue now, if there is one.
    pub fn next_departure(
        &mut self,
        now: Instant,
        placement: &mut Placement,
    ) -> Option<Departure<K>> {
        if let Some(flow) = self.displaced.pop_front() {
            return Some(refused(flow, DepartureReason::Displaced, placement));
        }
        if let Some(flow) = self.queue.pop_expired(now) {
            return Some(refused(flow, DepartureReason::MaxWait, placement));
        }
        if let Some(flow) = self.late.pop_expired(now) {
            let reason = DepartureReason::MaxWait;
            return Some(Departure { flow, reason });
        }
        let flow = self.next_with_room(now, placement)?;
        self.record_placed(now, &flow.service);
        let reason = DepartureReason::Room;
        Some(Departure { flow, reason })
    }

    /// Removes and returns the next flow that the entry has room for, if there is one.
    fn next_with_room(
        &mut self,
        now: Instant,
        placement: &mut Placement,
    ) -> Option<WaitingFlow<K>> {
        let beyond_limit = self.beyond_limit.pop_front();
        let mut heads = self.queue.heads().into_iter();
        let head = heads.find(|flow| {
            beyond_limit.as_ref() == Some(&flow.service) || placement.has_room(now, &flow.request())
        });
        if let Some(key) = head.map(|head| head.key) {
            return self.queue.remove(&key);
        }
        let mut heads = self.late.heads().into_iter();
        let head = heads.find(|flow| may_leave_late(now, flow, placement));
        let key = head?.key;
        self.late.remove(&key)
    }

    /// Removes and returns the first flow, whether there is room for it or not.
    pub fn pop_first(&mut self) -> Option<WaitingFlow<K>> {
        self.displaced
            .pop_front()
            .or_else(|| self.queue.pop_first())
            .or_else(|| self.late.pop_first())
    }
}

/// Tells whether a flow may be placed that can't be answered within its latency target any
/// more. Where no flow has ended meanwhile, open flows say nothing about slots: callers may
/// keep them open on purpose.
fn may_leave_late<K>(now: Instant, flow: &WaitingFlow<K>, placement: &Placement) -> bool {
    placement.has_room_for_late(&flow.service, flow.latency_target)
        || (now >= flow.arrived + flow.latency_target
            && !placement.has_ended_since(&flow.service, flow.arrived))
}

/// Returns the departure of a flow that is refused.
fn refused<K>(
    flow: WaitingFlow<K>,
    reason: DepartureReason,
    placement: &mut Placement,
) -> Departure<K> {
    if !flow.is_late {
        placement.record_refusal(&flow.service, flow.priority);
    }
    Departure { flow, reason }
}
