//! What a caller saw, in numbers to print.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Tally;

/// What callers saw, with the time to a flow's first answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CallerReport {
    /// What became of the flows.
    #[serde(flatten)]
    pub tally: Tally,
    /// Half of the flows had their first answer within this many milliseconds.
    pub first_answer_p50_ms: f64,
    /// So many milliseconds sufficed for 99% of the flows.
    pub first_answer_p99_ms: f64,
}

impl CallerReport {
    /// Returns a report of a tally and of times in microseconds.
    pub fn new(tally: Tally, first_answers: &Histogram<u64>) -> Self {
        let millis = |quantile| first_answers.value_at_quantile(quantile) as f64 / 1e3;
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
