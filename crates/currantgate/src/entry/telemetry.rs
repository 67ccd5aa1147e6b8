//! What an entry tells its operators: counters, log lines and spans.

use std::fmt::Display;
use std::time::Instant;

use currantgate_config::{EntryId, EntrySettings};
use currantgate_flow::Verdict;
use currantgate_packet::{FlowHasher, Packet, PacketKind};

use super::log_limit::LogLimit;
use super::metrics::EntryMetrics;
use crate::TRACE_TARGET;

/// What an entry tells its operators.
pub(crate) struct Reports {
    id: EntryId,
    hasher: FlowHasher,
    log_limit: LogLimit,
    pub(crate) metrics: EntryMetrics,
}

impl Reports {
    pub(crate) fn new(settings: &EntrySettings, metrics: EntryMetrics) -> Self {
        Self {
            id: settings.id,
            hasher: FlowHasher::new(settings.flow.hash_key.value()),
            log_limit: LogLimit::default(),
            metrics,
        }
    }

    /// Counts a drop under `label` and logs it as often as the limit allows.
    pub(crate) fn drop(&mut self, now: Instant, label: &str, what: impl Display) {
        self.metrics.count_drop(label);
        self.warn(now, format_args!("dropped {what}"));
    }

    /// Logs a line as often as the limit allows.
    pub(crate) fn warn(&mut self, now: Instant, what: impl Display) {
        match self.log_limit.allow(now) {
            Some(0) => log::warn!("{what}"),
            Some(suppressed) => log::warn!("{what} ({suppressed} more lines were held back)"),
            None => {}
        }
    }

    /// Writes a span for the first packet of a flow and for each refusal.
    pub(crate) fn trace(&self, verdict: &Verdict, packet: &Packet) {
        let is_rare = packet.kind == PacketKind::Open || matches!(verdict, Verdict::Refuse(_));
        if !is_rare || !tracing::enabled!(target: TRACE_TARGET, tracing::Level::DEBUG) {
            return;
        }
        let flow = format!("{:016x}", self.hasher.hash(&packet.key));
        tracing::debug_span!(
            target: TRACE_TARGET,
            "entry",
            entry = self.id,
            flow,
            key = %packet.key,
            verdict = ?verdict,
        )
        .in_scope(|| {});
    }
}
