//! Structured logs: one JSON object a line, bounded and without blocking.
//!
//! [`init`] starts the process's logger. Lines go to a thread that writes them
//! to standard output; one that finds the queue full is counted and left out.
//! [`RateLimiter`] bounds the lines of one kind. [`LogLine`] reads a line back,
//! and [`FlowHistory`] picks those that tell what became of one flow. The fields are
//! listed in the guide, under "Logs".

mod fields;
mod filter;
mod flow_history;
mod line;
mod logger;
mod rate_limiter;
mod sink;

pub use filter::{filter_arg, filter_from_matches};
pub use flow_history::FlowHistory;
pub use line::{InvalidLogLine, LogLine};
pub use logger::{LogGuard, format_line, init};
pub use rate_limiter::{RateLimit, RateLimiter};
