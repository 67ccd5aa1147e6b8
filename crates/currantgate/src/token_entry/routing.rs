//! The router with what tells of its decisions.

use std::time::Instant;

use currantgate_token::{Decision, FlowId, TokenRouter};

use super::decision_log::DecisionLog;
use super::format::{MalformedPacket, Packet};
use super::metrics::TokenEntryMetrics;

/// The router with the log and the metrics of its decisions.
#[derive(Debug)]
pub(super) struct Routing {
    pub(super) router: TokenRouter,
    pub(super) metrics: TokenEntryMetrics,
    pub(super) decisions: DecisionLog,
}

impl Routing {
    /// Decides about a packet, and tells it.
    pub(super) fn decide(&mut self, now: Instant, packet: Packet) -> (FlowId, Decision) {
        let (flow, decision) = match packet {
            Packet::Opening(opening) => {
                let opened = self.router.route_first(now, opening);
                self.decisions
                    .opened(now, &opening.flow, &opened, &self.router);
                (opening.flow, opened.decision)
            }
            Packet::Segment(segment) => {
                let decision = self.router.route_later(now, segment);
                if let Some(time) = self.router.take_handshake_time() {
                    self.metrics.note_handshake(time);
                }
                if let Decision::Drop(reason) = decision {
                    self.decisions
                        .dropped(now, &segment.flow, segment.token, reason);
                }
                (segment.flow, decision)
            }
        };
        self.metrics.count(&decision);
        self.tell_doubts(now);
        (flow, decision)
    }

    fn tell_doubts(&mut self, now: Instant) {
        for doubt in self.router.take_suspicion_changes() {
            self.decisions.doubt(now, &doubt, &self.router);
        }
    }

    /// Tells that a datagram is no packet.
    pub(super) fn malformed(&mut self, now: Instant, len: usize, reason: MalformedPacket) {
        self.metrics.count_malformed(reason);
        self.decisions.malformed(now, len, reason);
    }

    /// Lets go of flows whose callers have given up.
    pub(super) fn expire_flows(&mut self, now: Instant) {
        while let Some(expired) = self.router.pop_expired(now) {
            self.metrics.count_expired(expired.was_answered);
            self.decisions.expired(now, &expired, &self.router);
        }
        self.tell_doubts(now);
    }
}
