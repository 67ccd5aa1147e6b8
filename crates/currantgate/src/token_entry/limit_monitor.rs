//! The log and the metrics of the entry's own limit.

use std::time::{Duration, Instant};

use currantgate_log::{RateLimit, RateLimiter};
use currantgate_token::{CapacityLimit, LimitChange};

use super::limit_metrics::LimitMetrics;

/// Rate of lines: a load that stays near the limit starts and ends it every few seconds, at
/// many entries.
const RATE_LIMIT: RateLimit = RateLimit {
    lines: 4,
    interval: Duration::from_secs(10),
};

/// Logs and counts the starts and ends of the entry's own limit.
#[derive(Debug)]
pub(super) struct LimitMonitor {
    metrics: LimitMetrics,
    limiter: RateLimiter,
}

impl LimitMonitor {
    pub(super) fn new(now: Instant, metrics: LimitMetrics) -> Self {
        Self {
            metrics,
            limiter: RateLimiter::new(RATE_LIMIT, now),
        }
    }

    /// Updates the metrics, and logs what has changed since the last call.
    pub(super) fn update(&mut self, now: Instant, limit: &mut CapacityLimit) {
        for change in limit.take_changes(now) {
            self.metrics.record_change(change);
            if let Some(left_out) = self.limiter.try_acquire(now) {
                log_change(change, left_out);
            }
        }
    }
}

fn log_change(change: LimitChange, left_out: u64) {
    match change {
        LimitChange::Started(cause) => log::warn!(
            event = "limit",
            cause:% = cause,
            is_at_limit = true,
            left_out = left_out;
            "this entry is at the limit of its {cause}, new flows are limited"
        ),
        LimitChange::Ended(cause) => log::info!(
            event = "limit",
            cause:% = cause,
            is_at_limit = false,
            left_out = left_out;
            "this entry is no longer at the limit of its {cause}"
        ),
    }
}
