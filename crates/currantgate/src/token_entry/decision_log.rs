//! The log lines of a token entry: one for each decision about a flow.

use std::time::Instant;

use currantgate_control::Revision;
use currantgate_log::{LineBudget, LineBudgetSettings};
use currantgate_placement::{Suspect, SuspicionChange};
use currantgate_registry::{Availability, Upstream};
use currantgate_token::{
    Decision, DropReason, ExpiredFlow, FirstPacketDecision, FlowId, ResetReason, Token, TokenRouter,
};
use indexmap::{IndexMap, IndexSet};

use super::format::MalformedPacket;

/// Writes the log lines of a token entry, each kind within its budget.
#[derive(Debug)]
pub(super) struct DecisionLog {
    placed: LineBudget,
    refused: LineBudget,
    dropped: LineBudget,
    expired: LineBudget,
    malformed: LineBudget,
    doubts: LineBudget,
    standings: IndexMap<Box<str>, Availability>,
    /// The revision of the routes that decisions rest on.
    pub(super) revision: Revision,
    /// When the upstreams were last told of.
    pub(super) view_at: Instant,
}

impl DecisionLog {
    pub(super) fn new(now: Instant) -> Self {
        let budget = || LineBudget::new(LineBudgetSettings::default(), now);
        Self {
            placed: budget(),
            refused: budget(),
            dropped: budget(),
            expired: budget(),
            malformed: budget(),
            doubts: budget(),
            standings: IndexMap::new(),
            revision: 0,
            view_at: now,
        }
    }

    /// Tells how a first packet was decided.
    pub(super) fn opened(
        &mut self,
        now: Instant,
        flow: &FlowId,
        opened: &FirstPacketDecision,
        router: &TokenRouter,
    ) {
        match opened.decision {
            Decision::Forward(_) => self.placed(now, flow, opened, router),
            Decision::Reset(reason) => self.refused(now, flow, reason),
            Decision::Drop(reason) => self.dropped(now, flow, 0, reason),
        }
    }

    fn placed(
        &mut self,
        now: Instant,
        flow: &FlowId,
        opened: &FirstPacketDecision,
        router: &TokenRouter,
    ) {
        let Some(placed) = opened.placed else {
            return;
        };
        let Some(left_out) = self.placed.take(now) else {
            return;
        };
        let name = |token: Token| router.upstream_id(token).unwrap_or("unknown");
        log::info!(
            event = "placed",
            flow:% = flow,
            upstream = name(placed.key),
            after_silence_of = opened.unanswered_by.map_or("", name),
            flows = placed.flows,
            load = placed.load,
            is_doubtful = placed.is_unhealthy,
            revision = self.revision,
            view_age_ms = self.view_age_ms(now),
            left_out = left_out;
            "flow is placed"
        );
    }

    fn refused(&mut self, now: Instant, flow: &FlowId, reason: ResetReason) {
        let Some(left_out) = self.refused.take(now) else {
            return;
        };
        let view_age_ms = self.view_age_ms(now);
        match reason {
            ResetReason::NoRoute | ResetReason::NoUpstream => log::info!(
                event = "refused",
                flow:% = flow,
                revision = self.revision,
                view_age_ms = view_age_ms,
                left_out = left_out;
                "flow is refused: {reason}"
            ),
            ResetReason::Overloaded(shortage) => log::info!(
                event = "refused",
                flow:% = flow,
                ahead = shortage.competing_flows,
                room = shortage.flow_limit,
                open_for_ms = millis(shortage.median_duration),
                revision = self.revision,
                view_age_ms = view_age_ms,
                left_out = left_out;
                "flow is refused: {reason}"
            ),
        }
    }

    /// Tells that a packet was dropped.
    pub(super) fn dropped(
        &mut self,
        now: Instant,
        flow: &FlowId,
        token: Token,
        reason: DropReason,
    ) {
        if let Some(left_out) = self.dropped.take(now) {
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

    /// Tells that a flow was let go because its caller gave up.
    pub(super) fn expired(&mut self, now: Instant, expired: &ExpiredFlow, router: &TokenRouter) {
        if let Some(left_out) = self.expired.take(now) {
            let waited = now.saturating_duration_since(expired.sent);
            log::info!(
                event = "expired",
                flow:% = expired.flow,
                upstream = router.upstream_id(expired.token).unwrap_or("unknown"),
                was_answered = expired.was_answered,
                waited_ms = millis(waited),
                left_out = left_out;
                "flow has not ended within its caller's time"
            );
        }
    }

    /// Tells that an upstream or a domain is avoided from now on, or no more.
    pub(super) fn doubt(&mut self, now: Instant, doubt: &SuspicionChange, router: &TokenRouter) {
        let Some(left_out) = self.doubts.take(now) else {
            return;
        };
        let for_ms = doubt
            .until
            .map_or(0, |until| millis(until.saturating_duration_since(now)));
        let message = if doubt.until.is_some() {
            "first packets go unanswered"
        } else {
            "answers again"
        };
        match &doubt.suspect {
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

    /// Tells that a datagram is no packet.
    pub(super) fn malformed(&mut self, now: Instant, len: usize, reason: MalformedPacket) {
        if let Some(left_out) = self.malformed.take(now) {
            log::warn!(
                event = "malformed",
                len = len,
                left_out = left_out;
                "datagram is no packet: {reason}"
            );
        }
    }

    /// Tells which upstreams have another standing than before.
    pub(super) fn upstreams(&mut self, upstreams: &[Upstream]) {
        for upstream in upstreams {
            let id = &upstream.report.id;
            let before = self.standings.get(id).copied();
            if before == Some(upstream.availability) {
                continue;
            }
            self.standings.insert(id.clone(), upstream.availability);
            log::info!(
                event = "standing",
                upstream = &**id,
                service = &*upstream.report.service,
                standing:? = upstream.availability,
                before:? = before,
                born_ms = upstream.report.version.started_ms,
                sequence = upstream.report.version.sequence;
                "upstream has another standing"
            );
        }
        if self.standings.len() > upstreams.len() {
            let known: IndexSet<_> = upstreams.iter().map(|u| &u.report.id).collect();
            self.standings.retain(|id, _| known.contains(id));
        }
    }

    fn view_age_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.view_at))
    }
}

fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
