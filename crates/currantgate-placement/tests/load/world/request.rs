//! Requests and their kinds.

use currantgate_placement::{Priority, TargetKey};

/// A kind of request: the users' availability checks and bookings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    pub(super) work_ms: f64,
    pub(super) aim_ms: f64,
    pub(super) patience_ms: f64,
    pub(super) is_idempotent: bool,
}

pub(super) const SAFE: Kind = Kind {
    work_ms: 55.0,
    aim_ms: 250.0,
    patience_ms: 1_500.0,
    is_idempotent: true,
};

pub(super) const UNSAFE: Kind = Kind {
    work_ms: 72.0,
    aim_ms: 300.0,
    patience_ms: 2_000.0,
    is_idempotent: false,
};

/// The share of requests that may run once at most: 83 of 375 a second.
pub(super) const UNSAFE_SHARE: f64 = 0.22;

/// The mean work of all requests.
pub(super) const WORK_MS: f64 = (1.0 - UNSAFE_SHARE) * SAFE.work_ms + UNSAFE_SHARE * UNSAFE.work_ms;

/// The spread of the work of a kind, over its mean.
pub(super) const WORK_SPREAD: f64 = 0.5;

/// A request on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) kind: Kind,
    pub(super) begun_ms: f64,
    pub(super) work_ms: f64,
    pub(super) entry: usize,
    /// The domain of the entry that took the first try.
    pub(super) domain: usize,
    pub(super) key: TargetKey,
    pub(super) retries: u32,
    /// When the caller sent this try's first packet, and this copy of it.
    pub(super) try_ms: f64,
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
