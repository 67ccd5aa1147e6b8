//! Structured, rate-limited and non-blocking logs with one JSON object per line.
//!
//! [`init`] starts the process's logger. A thread writes the lines from a queue
//! to standard output; when the queue is full, lines are counted and left out.
//! [`RateLimiter`] limits the rate of lines of one kind. [`LogLine`] parses a
//! line, and [`FlowHistory`] selects the lines that concern one flow. The guide
//! lists the fields under "Logs".

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
