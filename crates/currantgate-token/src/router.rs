//! Routing decisions for the packets of flows.

use std::hash::Hasher as _;
use std::time::{Duration, Instant};

use currantgate_capacity::{DomainDemand, ServiceDemand};
use currantgate_observation::{Observation, SlowUpstream, UnansweredLog};
use currantgate_placement::{
    AdmissionState, DepartureReason, LateFlow, Placed, Placement, PlacementRequest,
    PlacementSettings, Refusal, ServiceShares, SuspicionChange, Target, WaitingAdmission,
    WaitingFlow, WaitingFlows, WaitingSettings,
};
use currantgate_warmup::{PermitHolder, WarmupLimit};
use indexmap::IndexSet;
use siphasher::sip::SipHasher13;

use crate::capacity_limit::{CapacityLimit, CapacityLimitSettings, LimitAdmission};
use crate::flow_table::{FlowRecord, FlowState, FlowTable};
use crate::upstreams::TokenMap;
use crate::warmup::Warmup;
use crate::{
    Decision, DropReason, ExpiredFlow, FirstPacket, FirstPacketDecision, FlowClass, FlowId,
    LaterPacket, ResetReason, RouteTable, ServiceWarmup, Token, TokenSettings, TokenUpstream,
    WaitingDeparture,
};

/// Time by which the check for late answers may itself be late. After a longer pause of the
/// process, answers may wait in the receive queue.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Decides for each packet to which upstream it goes, or why it goes to none.
#[derive(Debug)]
pub struct TokenRouter {
    settings: TokenSettings,
    placement: Placement,
    tokens: TokenMap,
    routes: RouteTable,
    /// Whether `routes` is known to be the newest revision.
    routes_current: bool,
    /// Whether the list of upstreams had the time to become complete.
    upstreams_complete: bool,
    /// Time until which packets may have waited in the receive queue.
    catching_up_until: Option<Instant>,
    flows: FlowTable,
    /// New flows beyond the entry's limit.
    waiting: WaitingFlows<FlowId>,
    /// Failure domains whose upstreams get no new flows.
    evacuated: IndexSet<Box<str>>,
    /// Services that would have upstreams in the entry's own domain if that were not
    /// evacuated.
    displaced_services: IndexSet<Box<str>>,
    /// Cold upstreams and the permits for them, where their new flows are limited.
    warmup: Option<Warmup>,
    /// Detector of the entry's own limit, where new flows are limited by it.
    capacity_limit: Option<CapacityLimit>,
    /// Duration of the last completed handshake that was not taken yet.
    handshake_time: Option<Duration>,
}

impl TokenRouter {
    /// Returns a router without routes and upstreams.
    pub fn new(settings: TokenSettings, placement: PlacementSettings) -> Self {
        Self {
            settings,
            placement: Placement::new(placement),
            tokens: TokenMap::default(),
            routes: RouteTable::default(),
            routes_current: false,
            upstreams_complete: false,
            catching_up_until: None,
            flows: FlowTable::default(),
            waiting: WaitingFlows::new(WaitingSettings::default()),
            evacuated: IndexSet::new(),
            displaced_services: IndexSet::new(),
            warmup: None,
            capacity_limit: None,
            handshake_time: None,
        }
    }

    /// Limits the new flows of cold upstreams whose service has a warm-up: each needs a
    /// permit. `seed` differs between entries.
    pub fn limit_cold_upstreams(&mut self, now: Instant, limit: WarmupLimit, seed: u64) {
        self.warmup = Some(Warmup::new(now, limit, seed));
    }

    /// Limits new flows while the entry's processor or link is the bottleneck, by the reads
    /// and sends that [`Self::capacity_limit`] is told.
    pub fn watch_capacity(&mut self, now: Instant, settings: CapacityLimitSettings) {
        self.capacity_limit = Some(CapacityLimit::new(now, settings));
    }

    /// Returns the detector of the entry's own limit, where new flows are limited by it.
    pub fn capacity_limit(&mut self) -> Option<&mut CapacityLimit> {
        self.capacity_limit.as_mut()
    }

    /// Returns the warm-up of a service if the new flows of its cold upstreams are limited.
    pub fn limited_warmup(&self, service: &str) -> Option<&ServiceWarmup> {
        self.warmup.as_ref()?;
        self.routes.warmup(service)
    }

    /// Replaces the routes. Open flows are not affected.
    pub fn set_routes(&mut self, routes: RouteTable) {
        self.routes = routes;
    }

    /// Sets whether the routes are known to be the newest revision. If not, flows
    /// without a route are dropped instead of reset.
    pub fn set_routes_current(&mut self, current: bool) {
        self.routes_current = current;
    }

    /// Sets whether the list of upstreams had the time to become complete. If not,
    /// flows without an upstream are dropped instead of reset.
    pub fn set_upstreams_complete(&mut self, complete: bool) {
        self.upstreams_complete = complete;
    }

    /// Sets the failure domains whose upstreams get no new flows. It takes effect with the
    /// next [`Self::set_upstreams`].
    pub fn set_evacuated(&mut self, domains: impl IntoIterator<Item = Box<str>>) {
        self.evacuated = domains.into_iter().collect();
    }

    /// Sets the time until which packets may have waited in the receive queue, as the
    /// process was stopped. No flow is reset until then: another entry may have placed a
    /// later copy of its first packet, and the flow may be open.
    pub fn set_catching_up_until(&mut self, until: Instant) {
        self.catching_up_until = Some(until);
    }

    /// Replaces all upstreams. Those that may get new flows come with a placement
    /// target, whose key is set to the upstream's token.
    ///
    /// Upstreams of evacuated domains still get the packets of their open flows.
    pub fn set_upstreams(&mut self, upstreams: Vec<(TokenUpstream, Option<Target>)>) {
        let listed = upstreams.iter().map(|(upstream, _)| upstream.clone());
        let tokens = self.tokens.replace(listed.collect());
        let evacuated = &self.evacuated;
        let displaced_services = &mut self.displaced_services;
        displaced_services.clear();
        let targets = upstreams.into_iter().filter_map(|(upstream, target)| {
            let key = *tokens.get(&upstream.id)?;
            let target = target?;
            if !evacuated.contains(&target.domain) {
                return Some(Target { key, ..target });
            }
            if target.is_local {
                displaced_services.insert(target.service);
            }
            None
        });
        let targets: Vec<_> = targets.collect();
        if let Some(warmup) = &mut self.warmup {
            warmup.set_targets(&targets, &self.routes);
            self.placement.set_limited(warmup.limited());
        }
        self.placement.set_targets(targets);
    }

    /// Updates which upstreams are cold, after [`Self::set_upstreams`] and as time passes.
    pub fn update_cold_upstreams(&mut self, now: Instant) {
        if let Some(warmup) = &mut self.warmup {
            warmup.update_cold(now);
        }
    }

    /// Applies a later end of a warm-up that was reported just now, without waiting for the
    /// next [`Self::set_upstreams`], if new flows of the upstream are limited while it is cold.
    pub fn extend_warmup(&mut self, now: Instant, id: &str, identity: u64, ends_at: Instant) {
        let Some(key) = self.tokens.token(id, identity) else {
            return;
        };
        let service = self.placement.service_of(key);
        let warmup = service.and_then(|service| self.limited_warmup(service));
        let reported = Some((ends_at, ends_at.saturating_duration_since(now)));
        if let Some(warm_at) = warmup.and_then(|w| w.warm_at(reported, None)) {
            self.placement.extend_warmup(key, warm_at);
        }
    }

    /// Returns the number of cold upstreams whose new flows are limited.
    pub fn cold_upstreams(&self) -> usize {
        self.warmup.as_ref().map_or(0, |warmup| warmup.cold_count)
    }

    /// Returns the number of permits for cold upstreams that were used.
    pub fn used_permits(&self) -> u64 {
        self.warmup.as_ref().map_or(0, |warmup| warmup.used_permits)
    }

    /// Returns the permits for cold upstreams, where their new flows are limited.
    pub fn permits(&mut self) -> Option<&mut PermitHolder> {
        self.warmup.as_mut().map(|warmup| &mut warmup.holder)
    }

    /// Decides about the first packet of a flow, or a retransmission of it.
    ///
    /// A duplicate within `duplicate_window`, and any copy for an established flow,
    /// goes to the same upstream. Any other copy means that the upstream did not answer,
    /// and the flow is placed on another one if there is one. A copy is never reset for want
    /// of an upstream, since one may have answered an earlier copy.
    pub fn route_first(&mut self, now: Instant, packet: FirstPacket) -> FirstPacketDecision {
        self.decide_first(now, packet, None)
    }

    /// Decides like [`Self::route_first`], except that a new flow beyond the entry's limit
    /// may wait, and so may a copy that can't be answered in time any more. `len` is the length
    /// of the first packet, which the caller of this method keeps until
    /// [`Self::next_departure`] returns the flow.
    pub fn route_first_or_wait(
        &mut self,
        now: Instant,
        packet: FirstPacket,
        len: usize,
    ) -> FirstPacketDecision {
        self.decide_first(now, packet, Some(len))
    }

    fn decide_first(
        &mut self,
        now: Instant,
        packet: FirstPacket,
        len: Option<usize>,
    ) -> FirstPacketDecision {
        let is_catching_up = self.is_catching_up(now);
        let len = len.filter(|_| !is_catching_up);
        let mut decided = self.place_first(now, packet, len);
        if is_catching_up && let Decision::Reset(_) = decided.decision {
            decided.decision = Decision::Drop(DropReason::Delayed);
        }
        decided
    }

    fn is_catching_up(&self, now: Instant) -> bool {
        self.catching_up_until.is_some_and(|until| now < until)
    }

    fn place_first(
        &mut self,
        now: Instant,
        packet: FirstPacket,
        len: Option<usize>,
    ) -> FirstPacketDecision {
        if self.waiting.record_retransmission(&packet.flow) {
            return unplaced(Decision::Drop(DropReason::Waiting), None, false);
        }
        let tracked = self.flows.get(&packet.flow);
        let is_new = packet.retransmissions == 0 && tracked.is_none();
        let Some(route) = self.routes.get(&packet.flow.service) else {
            return unplaced(self.without_route(), None, is_new);
        };
        let deadline = now + route.timeout + self.settings.expiry_grace;
        let Some(service) = route.select_service(self.flow_hash(&packet.flow)) else {
            return unplaced(without_upstream(!is_new), None, is_new);
        };
        let priority = route.request_priority();
        let class = Some(FlowClass { service, priority });
        if let Some((state, record)) = tracked {
            let is_duplicate = now < record.sent + self.settings.duplicate_window;
            if (is_duplicate || state == FlowState::Established)
                && let Some(hop) = self.tokens.get(record.token)
            {
                return unplaced(Decision::Forward(hop), class, is_new);
            }
            self.flows.remove(&packet.flow);
            self.placement
                .record_no_answer(now, record.token, record.priority, record.sent);
        }
        if tracked.is_none()
            && let Some(limit) = &mut self.capacity_limit
            && let Some(decision) = not_admitted(limit.admit(now, &packet))
        {
            return unplaced(decision, class, is_new);
        }
        let unanswered_by = tracked.map(|(_, record)| record.token);
        let request = PlacementRequest {
            service: &route.services[service].0,
            priority,
            latency_target: route.latency_target,
            may_refuse: is_new,
            tried: unanswered_by.as_slice(),
        };
        if let Some(warmup) = &mut self.warmup {
            warmup.holder.record_flow(now, request.service);
            self.placement.set_permitted(warmup.holder.permitted(now));
        }
        let late_age = match tracked {
            None => self.late_age(&packet, &request),
            Some(_) => None,
        };
        let placement = &mut self.placement;
        let waiting = &mut self.waiting;
        let admission = match (len, late_age) {
            (Some(len), _) if is_new => waiting.place(now, placement, &request, packet.flow, len),
            (Some(bytes), Some(age)) => {
                let late = LateFlow {
                    key: packet.flow,
                    bytes,
                    given_up_at: now + self.settings.attempt_timeout.saturating_sub(age),
                };
                waiting.place_late(now, placement, &request, late)
            }
            _ => placement
                .place(now, &request)
                .map_or_else(WaitingAdmission::Refused, WaitingAdmission::Placed),
        };
        let placed = match admission {
            WaitingAdmission::Placed(placed) => Ok(placed),
            WaitingAdmission::Refused(refusal) => Err(refusal),
            WaitingAdmission::Waits => return unplaced(Decision::Wait, class, false),
            WaitingAdmission::NoPlace => {
                return unplaced(Decision::Drop(DropReason::LateCopy), class, false);
            }
        };
        let is_displaced = placed.is_ok() && self.displaced_services.contains(request.service);
        let record = FlowRecord {
            token: 0,
            priority,
            sent: now,
            latency_target: route.latency_target,
            deadline,
        };
        FirstPacketDecision {
            decision: self.conclude(now, packet.flow, record, placed, is_new),
            placed: placed.ok(),
            unanswered_by,
            is_displaced,
            class,
            is_new,
            waited: None,
        }
    }

    /// Returns the least age of a flow if that shows that it can't be answered within its
    /// latency target any more. It follows from the number of times that its caller has sent
    /// the first packet.
    fn late_age(&self, packet: &FirstPacket, request: &PlacementRequest<'_>) -> Option<Duration> {
        let settings = &self.settings;
        let copies = packet.retransmissions as usize;
        let last = copies.min(settings.retransmit_after.len()).checked_sub(1)?;
        let age = settings.retransmit_after[last];
        let duration = self.placement.recent_duration(request.service);
        let is_late = age + duration.unwrap_or_default() > request.latency_target;
        (is_late && settings.defers_late_copies).then_some(age)
    }

    /// Removes and returns the next flow that leaves the queue now, if there is one. It is to
    /// be called after packets and changes of demand, and every 10 ms while flows wait.
    pub fn next_departure(&mut self, now: Instant) -> Option<WaitingDeparture> {
        // Another entry may have placed a copy of the first packet while this one was stopped.
        if self.is_catching_up(now) {
            let waiting = self.waiting.pop_first()?;
            let decision = Decision::Drop(DropReason::Delayed);
            let decided = unplaced(decision, None, !waiting.is_late);
            return Some(departure(now, &waiting, decided));
        }
        let left = self.waiting.next_departure(now, &mut self.placement)?;
        let decided = match left.reason {
            DepartureReason::Room => self.place_waiting(now, &left.flow),
            DepartureReason::MaxWait => {
                self.refuse_waiting(now, &left.flow, ResetReason::WaitedTooLong)
            }
            DepartureReason::Displaced => {
                self.refuse_waiting(now, &left.flow, ResetReason::Displaced)
            }
        };
        Some(departure(now, &left.flow, decided))
    }

    /// Tells whether flows wait or were displaced and are not refused yet.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of flows that wait.
    pub fn waiting_flows(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the state of the admission of each service's flows.
    pub fn admission_states(&self) -> impl Iterator<Item = (&str, AdmissionState)> {
        self.placement.admission_states()
    }

    /// Places a flow that has waited by the rules for new flows.
    fn place_waiting(
        &mut self,
        now: Instant,
        waiting: &WaitingFlow<FlowId>,
    ) -> FirstPacketDecision {
        let class = self.class_of(waiting);
        let Some(route) = self.routes.get(&waiting.key.service) else {
            return unplaced(self.without_route(), None, true);
        };
        let record = FlowRecord {
            token: 0,
            priority: waiting.priority,
            sent: now,
            latency_target: waiting.latency_target,
            deadline: waiting.arrived + route.timeout + self.settings.expiry_grace,
        };
        if let Some(warmup) = &mut self.warmup {
            self.placement.set_permitted(warmup.holder.permitted(now));
        }
        let placed = self.placement.place(now, &waiting.request());
        let is_new = !waiting.is_late;
        FirstPacketDecision {
            decision: self.conclude(now, waiting.key, record, placed, is_new),
            placed: placed.ok(),
            unanswered_by: None,
            is_displaced: placed.is_ok() && self.displaced_services.contains(&waiting.service),
            class,
            is_new,
            waited: None,
        }
    }

    /// Refuses a flow that has waited. A late copy is dropped without a reset, and so is a flow
    /// of which a retransmission is due that did not arrive here: the fabric may have handed it
    /// to another entry, which has placed it.
    fn refuse_waiting(
        &self,
        now: Instant,
        waiting: &WaitingFlow<FlowId>,
        reason: ResetReason,
    ) -> FirstPacketDecision {
        if waiting.is_late {
            let decision = Decision::Drop(DropReason::LateCopy);
            return unplaced(decision, self.class_of(waiting), false);
        }
        let may_be_elsewhere =
            !waiting.is_retransmitted && now >= waiting.arrived + self.settings.duplicate_window;
        let decision = if may_be_elsewhere {
            Decision::Drop(DropReason::Delayed)
        } else {
            Decision::Reset(reason)
        };
        unplaced(decision, self.class_of(waiting), true)
    }

    /// Returns the class of a flow that has waited, if its route still has the service.
    fn class_of(&self, waiting: &WaitingFlow<FlowId>) -> Option<FlowClass> {
        let route = self.routes.get(&waiting.key.service)?;
        let mut services = route.services.iter();
        let service = services.position(|(name, _)| *name == waiting.service)?;
        let priority = waiting.priority;
        Some(FlowClass { service, priority })
    }

    /// Returns the decision about a flow without a route. It is reset only if no newer routes
    /// may have one.
    fn without_route(&self) -> Decision {
        if self.routes_current {
            Decision::Reset(ResetReason::NoRoute)
        } else {
            Decision::Drop(DropReason::RoutesOutOfDate)
        }
    }

    /// Applies the outcome of the placement of a flow. `record` is that of the flow, without
    /// the token of its upstream.
    fn conclude(
        &mut self,
        now: Instant,
        flow: FlowId,
        record: FlowRecord,
        placed: Result<Placed, Refusal>,
        is_new: bool,
    ) -> Decision {
        match placed {
            Ok(placed) => {
                if let Some(warmup) = &mut self.warmup {
                    // There are no permits for warm upstreams.
                    warmup.used_permits += u64::from(warmup.holder.try_use(now, placed.key));
                }
                let token = placed.key;
                self.forward_first(flow, FlowRecord { token, ..record })
            }
            Err(Refusal::NoUpstream | Refusal::OnlyCold) if !self.upstreams_complete => {
                Decision::Drop(DropReason::UpstreamsIncomplete)
            }
            Err(Refusal::NoUpstream) => without_upstream(!is_new),
            Err(Refusal::OnlyCold) if !is_new => Decision::Drop(DropReason::OnlyCold),
            Err(Refusal::OnlyCold) => Decision::Reset(ResetReason::OnlyCold),
            Err(Refusal::Overloaded(overload)) => {
                Decision::Reset(ResetReason::Overloaded(overload))
            }
        }
    }

    /// Records a placed flow and forwards its first packet. When the table is full, the
    /// packet is forwarded without a record.
    fn forward_first(&mut self, flow: FlowId, record: FlowRecord) -> Decision {
        let Some(hop) = self.tokens.get(record.token) else {
            self.placement.cancel(record.token, record.priority);
            return Decision::Drop(DropReason::UnknownToken);
        };
        if self.flows.len() >= self.settings.max_flows {
            self.placement.cancel(record.token, record.priority);
            return Decision::Forward(hop);
        }
        self.flows.insert(flow, record);
        if let Some(timeout) = self.settings.answer_timeout {
            self.flows
                .track_answer(flow, record.sent, record.sent + timeout);
        }
        Decision::Forward(hop)
    }

    /// Forgets a flow that was placed at `now` or later and whose first packet could not be
    /// sent, so that the missing answer does not count against the upstream. A retransmission
    /// is placed like that of any unknown flow.
    pub fn record_unsent(&mut self, now: Instant, flow: &FlowId) {
        let tracked = self.flows.get(flow);
        if let Some((FlowState::Opening, record)) = tracked
            && record.sent >= now
        {
            self.flows.remove(flow);
            self.placement.cancel(record.token, record.priority);
        }
    }

    /// Decides about a later packet of a flow.
    ///
    /// The token alone determines the upstream. The record of the flow, if there is
    /// one, is only used to track load and answers.
    pub fn route_later(&mut self, now: Instant, packet: LaterPacket) -> Decision {
        let Some(hop) = self.tokens.get(packet.token) else {
            return Decision::Drop(DropReason::UnknownToken);
        };
        self.update_record(now, packet);
        Decision::Forward(hop)
    }

    /// Records an answered or ended flow. A caller's later packet shows that the
    /// upstream has answered the first one.
    fn update_record(&mut self, now: Instant, packet: LaterPacket) {
        if let Some(record) = self.flows.establish(&packet.flow) {
            self.record_established(now, packet.flow, &record);
        }
        if packet.is_last {
            self.record_last(now, &packet.flow);
        }
    }

    /// Records the answer to a flow. Like [`Self::record_last`], it is kept out of the path
    /// of the other packets.
    #[inline(never)]
    fn record_established(&mut self, now: Instant, flow: FlowId, record: &FlowRecord) {
        let handshake_time = now.saturating_duration_since(record.sent);
        self.handshake_time = Some(handshake_time);
        self.placement
            .record_handshake_time(record.token, handshake_time);
        self.placement.record_answer(now, record.token);
        self.track_overdue(flow, record);
    }

    /// Records the end of a flow.
    #[inline(never)]
    fn record_last(&mut self, now: Instant, flow: &FlowId) {
        if let Some(record) = self.flows.remove(flow) {
            let duration = now.saturating_duration_since(record.sent);
            self.placement
                .record_end(now, record.token, record.priority, duration);
        }
    }

    /// Sets the time at which a flow becomes overdue, if its service's usual duration is
    /// known.
    fn track_overdue(&mut self, flow: FlowId, record: &FlowRecord) {
        let Some(factor) = self.settings.overdue_factor else {
            return;
        };
        if let Some(usual) = self.placement.reference_duration(record.token) {
            let limit = usual.mul_f64(factor).max(record.latency_target);
            self.flows.track_overdue(flow, record.sent + limit);
        }
    }

    /// Counts flows that have become overdue against their upstreams, before they end.
    pub fn record_overdue(&mut self, now: Instant) {
        while let Some(record) = self.flows.pop_overdue(now) {
            self.placement.record_overdue(now, record.token);
        }
    }

    /// Returns the time at which [`Self::record_late_answers`] is due, if answers are
    /// expected.
    pub fn next_answer_time(&mut self) -> Option<Instant> {
        self.flows.next_answer_time()
    }

    /// Records which upstreams have left first packets unanswered for too long. All packets
    /// that have arrived must have been routed before.
    pub fn record_late_answers(&mut self, now: Instant) {
        while let Some((due, record)) = self.flows.pop_late_answer(now) {
            if now <= due + MAX_CHECK_DELAY {
                self.placement.record_late_answer(record.token, record.sent);
            }
        }
    }

    /// Removes and returns a flow whose caller has given up, if there is one.
    pub fn pop_expired(&mut self, now: Instant) -> Option<ExpiredFlow> {
        let (flow, state, record) = self.flows.pop_expired(now)?;
        let was_answered = state == FlowState::Established;
        if was_answered {
            self.placement.release(record.token, record.priority);
        } else {
            self.placement
                .record_no_answer(now, record.token, record.priority, record.sent);
        }
        Some(ExpiredFlow {
            flow,
            token: record.token,
            was_answered,
            sent: record.sent,
        })
    }

    /// Returns and removes the duration of the handshake that the last packet
    /// completed, if it completed one.
    pub fn take_handshake_time(&mut self) -> Option<Duration> {
        self.handshake_time.take()
    }

    /// Returns and removes the suspicions of upstreams and domains that started or ended
    /// since the last call.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        self.placement.take_suspicion_changes()
    }

    /// Returns and removes what was observed of upstreams since the last call.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        self.placement.take_observations()
    }

    /// Returns the log of unanswered first packets that are reported soon.
    pub fn unanswered(&mut self) -> &mut UnansweredLog {
        self.placement.unanswered()
    }

    /// Applies changes of what all entries observe of upstreams.
    pub fn update_slow_upstreams(&mut self, changes: &[SlowUpstream]) {
        self.placement.update_fleet_slowness(changes);
    }

    /// Returns the upstreams that are slow by what all entries observe.
    pub fn slow_upstreams(&self) -> impl ExactSizeIterator<Item = Token> {
        self.placement.fleet_slow()
    }

    /// Returns and removes the demand of this entry's callers since the last call.
    pub fn take_demand(&mut self) -> Vec<ServiceDemand> {
        self.placement.take_demand()
    }

    /// Applies the demand of a failure domain's callers.
    pub fn update_demand(&mut self, now: Instant, demand: &DomainDemand) {
        self.placement.update_demand(now, demand);
    }

    /// Goes back to the entry's own flows alone, until demand is applied again.
    pub fn clear_demand(&mut self) {
        self.placement.clear_demand();
    }

    /// Returns how new flows of a service are divided among failure domains; nothing
    /// while the entry decides by its own flows alone.
    pub fn shares(&self, service: &str) -> Option<&ServiceShares> {
        self.placement.shares(service)
    }

    /// Returns the name of the service in the class of a flow.
    pub fn service_name(&self, flow: &FlowId, class: FlowClass) -> Option<&str> {
        let route = self.routes.get(&flow.service)?;
        route.services.get(class.service).map(|(name, _)| &**name)
    }

    /// Returns the service and the failure domain of an upstream that has open flows or
    /// may get new ones.
    pub fn upstream_location(&self, token: Token) -> Option<(&str, &str)> {
        let target = self.placement.target(token)?;
        Some((&target.service, &target.domain))
    }

    /// Returns the id of the upstream with the given token.
    pub fn upstream_id(&self, token: Token) -> Option<&str> {
        self.tokens.id(token)
    }

    /// Returns the number of flows with a record whose upstream is in a failure domain.
    pub fn open_flows_in(&self, domain: &str) -> u32 {
        self.placement.open_flows_in(domain)
    }

    /// Returns the number of flows that have a record, opening or established.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the keyed hash by which a flow is assigned to a service of its route.
    fn flow_hash(&self, flow: &FlowId) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.settings.hash_key);
        hasher.write_u32(flow.caller.ip().to_bits());
        hasher.write_u16(flow.caller.port());
        hasher.write_u32(flow.service.ip().to_bits());
        hasher.write_u16(flow.service.port());
        hasher.finish()
    }
}

/// Returns the decision about a first packet whose service has no upstream. A copy is
/// dropped, since an upstream may have answered an earlier one.
fn without_upstream(is_copy: bool) -> Decision {
    if is_copy {
        Decision::Drop(DropReason::NoUpstream)
    } else {
        Decision::Reset(ResetReason::NoUpstream)
    }
}

/// Returns the decision about a flow that is not taken at the entry's own limit. It is made
/// before placement, so that the flow does not count as demand.
fn not_admitted(admission: LimitAdmission) -> Option<Decision> {
    match admission {
        LimitAdmission::Admit => None,
        LimitAdmission::Refuse => Some(Decision::Reset(ResetReason::EntryLimit)),
        LimitAdmission::Drop => Some(Decision::Drop(DropReason::EntryLimit)),
    }
}

/// Returns a decision made without placement.
fn unplaced(decision: Decision, class: Option<FlowClass>, is_new: bool) -> FirstPacketDecision {
    FirstPacketDecision {
        decision,
        placed: None,
        unanswered_by: None,
        is_displaced: false,
        class,
        is_new,
        waited: None,
    }
}

/// Returns the departure of a flow that has waited.
fn departure(
    now: Instant,
    waiting: &WaitingFlow<FlowId>,
    decided: FirstPacketDecision,
) -> WaitingDeparture {
    let waited = Some(now.saturating_duration_since(waiting.arrived));
    WaitingDeparture {
        flow: waiting.key,
        decided: FirstPacketDecision { waited, ..decided },
    }
}
