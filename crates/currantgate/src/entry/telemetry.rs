//! Observability of an entry: metrics, log lines and tracing spans.

use std::fmt::Display;
use std::time::Instant;

use currantgate_config::{EntryId, EntrySettings};
use currantgate_flow::Verdict;
use currantgate_packet::{FlowHasher, Packet, PacketKind};

use super::log_rate_limiter::LogRateLimiter;
use super::metrics::EntryMetrics;
use crate::TRACE_TARGET;

/// Metrics, rate-limited log and tracing of an entry.
pub(crate) struct Telemetry {
    id: EntryId,
    hasher: FlowHasher,
    log_limiter: LogRateLimiter,
    pub(crate) metrics: EntryMetrics,
}

impl Telemetry {
    pub(crate) fn new(settings: &EntrySettings, metrics: EntryMetrics) -> Self {
        Self {
            id: settings.id,
            hasher: FlowHasher::new(settings.flow.hash_key.value()),
            log_limiter: LogRateLimiter::default(),
            metrics,
        }
    }

    /// Counts a drop under the reason `label` and logs it, rate-limited.
    pub(crate) fn record_drop(&mut self, now: Instant, label: &str, what: impl Display) {
        self.metrics.count_drop(label);
        self.warn(now, format_args!("dropped {what}"));
    }

    /// Logs a warning, rate-limited.
    pub(crate) fn warn(&mut self, now: Instant, what: impl Display) {
        match self.log_limiter.allow(now) {
            Some(0) => log::warn!("{what}"),
            Some(suppressed) => log::warn!("{what} ({suppressed} lines suppressed before)"),
            None => {}
        }
    }

    /// Emits a span for the first packet of a flow and for each refusal.
    pub(crate) fn trace(&self, verdict: &Verdict, packet: &Packet) {
        let is_traced = packet.kind == PacketKind::Open || matches!(verdict, Verdict::Refuse(_));
        if !is_traced || !tracing::enabled!(target: TRACE_TARGET, tracing::Level::DEBUG) {
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
