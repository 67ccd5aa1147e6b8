//! The printable report of a caller.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::CallerStats;

/// Counters of callers and quantiles of the time to a flow's first response.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CallerReport {
    /// Counters of flows by outcome.
    #[serde(flatten)]
    pub tally: CallerStats,
    /// Median time to the first response, in milliseconds.
    pub first_answer_p50_ms: f64,
    /// 99th percentile of the time to the first response, in milliseconds.
    pub first_answer_p99_ms: f64,
}

impl CallerReport {
    /// Creates a report from counters and a histogram in microseconds.
    pub fn new(tally: CallerStats, first_answer_times: &Histogram<u64>) -> Self {
        let millis = |quantile| first_answer_times.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            tally,
            first_answer_p50_ms: millis(0.50),
            first_answer_p99_ms: millis(0.99),
        }
    }
}

impl fmt::Display for CallerReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("flows opened", self.tally.opened),
            ("flows established", self.tally.established),
            ("flows finished", self.tally.finished),
            ("flows refused", self.tally.refused),
            ("flows unanswered", self.tally.unanswered),
            ("flows broken", self.tally.broken),
            ("packets misrouted", self.tally.misrouted),
        ];
        for (name, count) in rows {
            writeln!(f, "{name:<18} {count:>8}")?;
        }
        writeln!(
            f,
            "first answer       {:>8.1} ms p50 {:>8.1} ms p99",
            self.first_answer_p50_ms, self.first_answer_p99_ms
        )
    }
}
