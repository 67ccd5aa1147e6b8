//! Simulated requests and their kinds.

use currantgate_placement::{Priority, TargetKey};

/// A kind of request; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind {
    /// Mean work time.
    pub(crate) work_ms: f64,
    pub(crate) latency_target_ms: f64,
    /// Time after which the caller gives up.
    pub(super) caller_timeout_ms: f64,
    pub(super) is_idempotent: bool,
}

/// The users' availability checks.
pub(super) const IDEMPOTENT: RequestKind = RequestKind {
    work_ms: 55.0,
    latency_target_ms: 250.0,
    caller_timeout_ms: 1_500.0,
    is_idempotent: true,
};

/// The users' bookings.
pub(super) const NON_IDEMPOTENT: RequestKind = RequestKind {
    work_ms: 72.0,
    latency_target_ms: 300.0,
    caller_timeout_ms: 2_000.0,
    is_idempotent: false,
};

/// Share of requests that are not idempotent: 83 of 375 a second.
pub(super) const NON_IDEMPOTENT_SHARE: f64 = 0.22;

/// Standard deviation of the work time of a kind, relative to its mean.
pub(super) const WORK_RELATIVE_STD_DEV: f64 = 0.5;

/// A request in progress; times are in milliseconds of virtual time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) kind: RequestKind,
    pub(super) started_ms: f64,
    pub(super) work_ms: f64,
    pub(super) entry: usize,
    /// Domain of the entry that got the first attempt.
    pub(super) domain: usize,
    pub(super) key: TargetKey,
    pub(super) retries: u32,
    /// Start of the current attempt.
    pub(super) attempt_ms: f64,
    /// Time of the last first packet that was sent, retransmissions included.
    pub(super) sent_ms: f64,
    /// Whether the upstream was warming up when the request arrived there.
    pub(super) is_cold: bool,
}

impl Request {
    pub(super) fn priority(&self) -> Priority {
        Priority {
            is_idempotent: self.kind.is_idempotent,
            level: 1,
        }
    }
}
