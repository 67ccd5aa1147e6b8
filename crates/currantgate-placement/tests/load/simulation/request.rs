//! Requests and their kinds.

use currantgate_placement::{Priority, TargetKey};

/// A kind of request: the users' availability checks and bookings.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestKind {
    pub(super) work_ms: f64,
    pub(super) latency_target_ms: f64,
    pub(super) caller_timeout_ms: f64,
    pub(super) is_idempotent: bool,
}

pub(super) const IDEMPOTENT: RequestKind = RequestKind {
    work_ms: 55.0,
    latency_target_ms: 250.0,
    caller_timeout_ms: 1_500.0,
    is_idempotent: true,
};

pub(super) const NON_IDEMPOTENT: RequestKind = RequestKind {
    work_ms: 72.0,
    latency_target_ms: 300.0,
    caller_timeout_ms: 2_000.0,
    is_idempotent: false,
};

/// The share of requests that may run once at most: 83 of 375 a second.
pub(super) const NON_IDEMPOTENT_SHARE: f64 = 0.22;

/// The mean work of all requests.
pub(super) const MEAN_WORK_MS: f64 = (1.0 - NON_IDEMPOTENT_SHARE) * IDEMPOTENT.work_ms
    + NON_IDEMPOTENT_SHARE * NON_IDEMPOTENT.work_ms;

/// The spread of the work of a kind, over its mean.
pub(super) const WORK_RELATIVE_STD_DEV: f64 = 0.5;

/// A request on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) kind: RequestKind,
    pub(super) started_ms: f64,
    pub(super) work_ms: f64,
    pub(super) entry: usize,
    /// The domain of the entry that took the first try.
    pub(super) domain: usize,
    pub(super) key: TargetKey,
    pub(super) retries: u32,
    /// When the caller sent this try's first packet, and this copy of it.
    pub(super) attempt_ms: f64,
    pub(super) sent_ms: f64,
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
