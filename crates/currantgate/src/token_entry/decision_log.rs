//! The log of a token entry's decisions about flows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_control::Revision;
use currantgate_log::{RateLimit, RateLimiter};
use currantgate_placement::{Suspect, SuspicionChange};
use currantgate_registry::{Availability, EvacuationChange, EvacuationView, Upstream};
use currantgate_token::{
    Decision, DropReason, ExpiredFlow, FirstPacketDecision, FlowId, ResetReason, Token, TokenRouter,
};
use indexmap::{IndexMap, IndexSet};

use super::demand_figures::DemandFigures;
use super::format::MalformedPacket;

/// Logs decisions about flows, with a rate limit for each kind of event.
#[derive(Debug)]
pub(super) struct DecisionLog {
    placed: RateLimiter,
    refused: RateLimiter,
    dropped: RateLimiter,
    expired: RateLimiter,
    malformed: RateLimiter,
    suspicion_changes: RateLimiter,
    slow_upstreams: RateLimiter,
    /// The last logged availability of each upstream.
    availabilities: IndexMap<Box<str>, Availability>,
    /// Failure domain of the entry.
    domain: Box<str>,
    /// Revision of the routes that decisions are based on.
    pub(super) revision: Revision,
    /// When the last message about upstreams or the revision was received.
    pub(super) view_at: Instant,
}

impl DecisionLog {
    pub(super) fn new(now: Instant, domain: Box<str>) -> Self {
        let limiter = || RateLimiter::new(RateLimit::default(), now);
        Self {
            placed: limiter(),
            refused: limiter(),
            dropped: limiter(),
            expired: limiter(),
            malformed: limiter(),
            suspicion_changes: limiter(),
            slow_upstreams: limiter(),
            availabilities: IndexMap::new(),
            domain,
            revision: 0,
            view_at: now,
        }
    }

    /// Logs the decision about a first packet. `figures` is called only for a line that is
    /// written.
    pub(super) fn log_first_packet(
        &mut self,
        now: Instant,
        flow: &FlowId,
        decided: &FirstPacketDecision,
        figures: impl FnOnce() -> DemandFigures,
        router: &TokenRouter,
    ) {
        match decided.decision {
            Decision::Forward(_) => self.log_placed(now, flow, decided, figures, router),
            Decision::Reset(reason) => self.log_refused(now, flow, reason, decided.waited, figures),
            Decision::Drop(reason) => self.log_dropped(now, flow, 0, reason),
            Decision::Wait => {}
        }
    }

    fn log_placed(
        &mut self,
        now: Instant,
        flow: &FlowId,
        decided: &FirstPacketDecision,
        figures: impl FnOnce() -> DemandFigures,
        router: &TokenRouter,
    ) {
        let Some(placed) = decided.placed else {
            return;
        };
        let Some(left_out) = self.placed.try_acquire(now) else {
            return;
        };
        let figures = figures();
        let name = |token: Token| router.upstream_id(token).unwrap_or("unknown");
        log::info!(
            event = "placed",
            flow:% = flow,
            upstream = name(placed.key),
            after_silence_of = decided.unanswered_by.map_or("", name),
            flows = placed.flows,
            load = placed.load,
            waited_ms = decided.waited.map(millis),
            is_doubtful = placed.is_unhealthy,
            evacuated = if decided.is_displaced { &*self.domain } else { "" },
            service = figures.service.as_deref(),
            domain = figures.domain.as_deref(),
            weight = figures.weight,
            demand_age_ms = figures.age_ms,
            revision = self.revision,
            view_age_ms = self.view_age_ms(now),
            left_out = left_out;
            "flow is placed"
        );
    }

    fn log_refused(
        &mut self,
        now: Instant,
        flow: &FlowId,
        reason: ResetReason,
        waited: Option<Duration>,
        figures: impl FnOnce() -> DemandFigures,
    ) {
        let Some(left_out) = self.refused.try_acquire(now) else {
            return;
        };
        let figures = figures();
        let overload = match reason {
            ResetReason::Overloaded(overload) => Some(overload),
            ResetReason::NoRoute
            | ResetReason::NoUpstream
            | ResetReason::OnlyCold
            | ResetReason::WaitedTooLong
            | ResetReason::Displaced
            | ResetReason::EntryLimit => None,
        };
        log::info!(
            event = "refused",
            flow:% = flow,
            ahead = overload.map(|o| o.competing_flows),
            room = overload.map(|o| o.flow_limit),
            waited_ms = waited.map(millis),
            open_for_ms = overload.map(|o| millis(o.median_duration)),
            service = figures.service.as_deref(),
            is_idempotent = figures.priority.map(|p| p.is_idempotent),
            level = figures.priority.map(|p| p.level),
            admitted = figures.admitted,
            own_share = figures.own_share,
            fleet_capacity = figures.fleet_capacity,
            demand_age_ms = figures.age_ms,
            revision = self.revision,
            view_age_ms = self.view_age_ms(now),
            left_out = left_out;
            "flow is refused: {reason}"
        );
    }

    /// Logs that a packet was dropped.
    pub(super) fn log_dropped(
        &mut self,
        now: Instant,
        flow: &FlowId,
        token: Token,
        reason: DropReason,
    ) {
        if let Some(left_out) = self.dropped.try_acquire(now) {
            log::info!(
                event = "dropped",
                flow:% = flow,
                token = token,
                revision = self.revision,
                view_age_ms = self.view_age_ms(now),
                left_out = left_out;
                "packet is dropped: {reason}"
            );
        }
    }

    /// Logs that a flow was removed because its caller has given up.
    pub(super) fn log_expired(
        &mut self,
        now: Instant,
        expired: &ExpiredFlow,
        router: &TokenRouter,
    ) {
        if let Some(left_out) = self.expired.try_acquire(now) {
            let elapsed = now.saturating_duration_since(expired.sent);
            log::info!(
                event = "expired",
                flow:% = expired.flow,
                upstream = router.upstream_id(expired.token).unwrap_or("unknown"),
                was_answered = expired.was_answered,
                waited_ms = millis(elapsed),
                left_out = left_out;
                "flow has expired: its caller's timeout has passed"
            );
        }
    }

    /// Logs that an upstream or a failure domain starts or ceases to be avoided.
    pub(super) fn log_suspicion_change(
        &mut self,
        now: Instant,
        change: &SuspicionChange,
        router: &TokenRouter,
    ) {
        let Some(left_out) = self.suspicion_changes.try_acquire(now) else {
            return;
        };
        let for_ms = change
            .until
            .map_or(0, |until| millis(until.saturating_duration_since(now)));
        let message = if change.until.is_some() {
            "first packets go unanswered"
        } else {
            "answers again"
        };
        match &change.suspect {
            Suspect::Upstream(token) => log::info!(
                event = "doubt",
                upstream = router.upstream_id(*token).unwrap_or("unknown"),
                for_ms = for_ms,
                left_out = left_out;
                "upstream: {message}"
            ),
            Suspect::Domain(domain) => log::info!(
                event = "doubt",
                domain = &**domain,
                for_ms = for_ms,
                left_out = left_out;
                "failure domain: {message}"
            ),
        }
    }

    /// Logs the upstreams that are avoided as slow.
    pub(super) fn log_slow_upstreams(&mut self, now: Instant, router: &TokenRouter) {
        let Some(left_out) = self.slow_upstreams.try_acquire(now) else {
            return;
        };
        let slow = router.slow_upstreams();
        let upstreams: Vec<_> = slow.filter_map(|token| router.upstream_id(token)).collect();
        log::info!(
            event = "slow",
            upstreams = upstreams.join(","),
            left_out = left_out;
            "slow upstreams as observed by the entries of the domain"
        );
    }

    /// Logs that the evacuated failure domains have changed.
    pub(super) fn log_evacuation_change(
        &self,
        from: SocketAddr,
        change: &EvacuationChange,
        held: &EvacuationView,
    ) {
        let evacuated: Vec<_> = held.evacuated().map(|domain| &**domain).collect();
        log::info!(
            event = "evacuation",
            evacuated = evacuated.join(","),
            started = change.started.join(","),
            finished = change.finished.join(","),
            evacuation_revision = held.revision(),
            from:% = from;
            "evacuated failure domains have changed"
        );
    }

    /// Logs a datagram that can't be parsed as a packet.
    pub(super) fn log_malformed(&mut self, now: Instant, len: usize, reason: MalformedPacket) {
        if let Some(left_out) = self.malformed.try_acquire(now) {
            log::warn!(
                event = "malformed",
                len = len,
                left_out = left_out;
                "datagram is malformed: {reason}"
            );
        }
    }

    /// Logs each upstream whose availability has changed.
    pub(super) fn log_availability_changes(&mut self, upstreams: &[Upstream]) {
        for upstream in upstreams {
            let id = &upstream.report.id;
            let before = self.availabilities.get(id).copied();
            if before == Some(upstream.availability) {
                continue;
            }
            self.availabilities
                .insert(id.clone(), upstream.availability);
            log::info!(
                event = "standing",
                upstream = &**id,
                service = &*upstream.report.service,
                standing:? = upstream.availability,
                before:? = before,
                born_ms = upstream.report.version.started_ms,
                sequence = upstream.report.version.sequence;
                "upstream availability has changed"
            );
        }
        if self.availabilities.len() > upstreams.len() {
            let known: IndexSet<_> = upstreams.iter().map(|u| &u.report.id).collect();
            self.availabilities.retain(|id, _| known.contains(id));
        }
    }

    fn view_age_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.view_at))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
