//! The decision about each packet.

use std::hash::Hasher as _;
use std::time::{Duration, Instant};

use currantgate_placement::{
    Placement, PlacementRequest, PlacementSettings, Refusal, SuspicionChange, Target,
};
use siphasher::sip::SipHasher13;

use crate::flow_table::{FlowRecord, FlowTable, Phase};
use crate::upstreams::TokenMap;
use crate::{
    Decision, DropReason, ExpiredFlow, FirstPacket, FirstPacketDecision, FlowId, LaterPacket,
    ResetReason, RouteTable, Token, TokenSettings, TokenUpstream,
};

/// Decides where the packets of flows go.
#[derive(Debug)]
pub struct TokenRouter {
    settings: TokenSettings,
    placement: Placement,
    tokens: TokenMap,
    routes: RouteTable,
    /// Whether `routes` is known to be the newest revision.
    routes_current: bool,
    /// Whether all upstreams have had the time to be told.
    upstreams_complete: bool,
    flows: FlowTable,
    /// How long the newest first packet that was answered took.
    answer_time: Option<Duration>,
}

impl TokenRouter {
    /// Starts without routes and upstreams.
    pub fn new(settings: TokenSettings, placement: PlacementSettings) -> Self {
        Self {
            settings,
            placement: Placement::new(placement),
            tokens: TokenMap::default(),
            routes: RouteTable::default(),
            routes_current: false,
            upstreams_complete: false,
            flows: FlowTable::default(),
            answer_time: None,
        }
    }

    /// Puts routes in force for flows that are opened from now on.
    pub fn set_routes(&mut self, routes: RouteTable) {
        self.routes = routes;
    }

    /// Notes whether the routes are known to be the newest.
    pub fn set_routes_current(&mut self, current: bool) {
        self.routes_current = current;
    }

    /// Notes whether all upstreams have had the time to be told.
    pub fn set_upstreams_complete(&mut self, complete: bool) {
        self.upstreams_complete = complete;
    }

    /// Replaces all upstreams: those that may get new flows come with how
    /// placement should see them, given the token.
    pub fn set_upstreams(&mut self, upstreams: Vec<(TokenUpstream, Option<Target>)>) {
        let known = upstreams.iter().map(|(upstream, _)| upstream.clone());
        let tokens = self.tokens.replace(known.collect());
        let targets = upstreams.into_iter().filter_map(|(upstream, target)| {
            let key = *tokens.get(&upstream.id)?;
            target.map(|target| Target { key, ..target })
        });
        self.placement.set_targets(targets);
    }

    /// Decides about the first packet of a flow, or a copy of it.
    pub fn route_first(&mut self, now: Instant, opening: FirstPacket) -> FirstPacketDecision {
        let Some(route) = self.routes.get(&opening.flow.service) else {
            return unplaced(if self.routes_current {
                Decision::Reset(ResetReason::NoRoute)
            } else {
                Decision::Drop(DropReason::RoutesOutOfDate)
            });
        };
        let deadline = now + route.timeout + self.settings.expiry_grace;
        let Some(service) = route.select_service(self.hash(&opening.flow)) else {
            return unplaced(Decision::Reset(ResetReason::NoUpstream));
        };
        let before = self.flows.get(&opening.flow);
        let priority = route.request_priority();
        if let Some((phase, record)) = before {
            let is_copy = now < record.sent + self.settings.duplicate_window;
            if (is_copy || phase == Phase::Open)
                && let Some(hop) = self.tokens.get(record.token)
            {
                return unplaced(Decision::Forward(hop));
            }
            self.flows.remove(&opening.flow);
            self.placement
                .record_no_answer(now, record.token, record.priority, record.sent);
        }
        let unanswered_by = before.map(|(_, record)| record.token);
        let request = PlacementRequest {
            service,
            priority,
            latency_target: route.latency_target,
            may_refuse: opening.retransmissions == 0 && before.is_none(),
            tried: unanswered_by.as_slice(),
        };
        let placed = self.placement.place(now, &request);
        let decision = match placed {
            Ok(placed) => {
                let record = FlowRecord {
                    token: placed.key,
                    priority,
                    sent: now,
                    deadline,
                };
                self.forward_first(opening.flow, record)
            }
            Err(Refusal::NoUpstream) if !self.upstreams_complete => {
                Decision::Drop(DropReason::UpstreamsIncomplete)
            }
            Err(Refusal::NoUpstream) => Decision::Reset(ResetReason::NoUpstream),
            Err(Refusal::Overloaded(shortage)) => {
                Decision::Reset(ResetReason::Overloaded(shortage))
            }
        };
        FirstPacketDecision {
            decision,
            placed: placed.ok(),
            unanswered_by,
        }
    }

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
        Decision::Forward(hop)
    }

    /// Decides about a later packet of a flow: its token alone tells where it
    /// goes, and the record of the flow only keeps count.
    pub fn route_later(&mut self, now: Instant, segment: LaterPacket) -> Decision {
        let Some(hop) = self.tokens.get(segment.token) else {
            return Decision::Drop(DropReason::UnknownToken);
        };
        self.keep_count(now, segment);
        Decision::Forward(hop)
    }

    fn keep_count(&mut self, now: Instant, segment: LaterPacket) {
        if let Some(record) = self.flows.answer(&segment.flow) {
            self.answer_time = Some(now.saturating_duration_since(record.sent));
            self.placement.record_answer(now, record.token);
        }
        if segment.is_last
            && let Some(record) = self.flows.remove(&segment.flow)
        {
            let took = now.saturating_duration_since(record.sent);
            self.placement
                .record_end(now, record.token, record.priority, took);
        }
    }

    /// Lets go of a flow whose caller has given up, if there is one.
    pub fn pop_expired(&mut self, now: Instant) -> Option<ExpiredFlow> {
        let (flow, phase, record) = self.flows.pop_expired(now)?;
        let was_answered = phase == Phase::Open;
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

    /// Returns how long the first packet took that the packet before told to be
    /// answered, if it told one.
    pub fn take_handshake_time(&mut self) -> Option<Duration> {
        self.answer_time.take()
    }

    /// Returns the doubts of upstreams and domains that were raised or ended
    /// since it was last asked.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        self.placement.take_suspicion_changes()
    }

    /// Returns the name of the upstream that a token names.
    pub fn upstream_id(&self, token: Token) -> Option<&str> {
        self.tokens.id(token)
    }

    /// Returns how many flows are open or opening.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    fn hash(&self, flow: &FlowId) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.settings.hash_key);
        hasher.write_u32(flow.caller.ip().to_bits());
        hasher.write_u16(flow.caller.port());
        hasher.write_u32(flow.service.ip().to_bits());
        hasher.write_u16(flow.service.port());
        hasher.finish()
    }
}

/// Returns a decision that placed nothing.
fn unplaced(decision: Decision) -> FirstPacketDecision {
    FirstPacketDecision {
        decision,
        placed: None,
        unanswered_by: None,
    }
}
