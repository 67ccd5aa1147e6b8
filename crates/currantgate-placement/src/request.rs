//! What a new flow asks for.

use std::time::Duration;

use crate::TargetKey;

/// Which flows go first when not all can be served; the smallest does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Whether its requests may run more than once: their callers can ask
    /// again whatever happens, so that the others go first.
    pub is_idempotent: bool,
    /// The level that the operator has set; 0 is the highest.
    pub level: u32,
}

/// What a new flow asks for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that is to take it.
    pub service: &'a str,
    /// How it compares with other flows.
    pub priority: Priority,
    /// Within which time an answer is of full worth.
    pub latency_target: Duration,
    /// Whether it may be refused: not when an upstream may have answered its
    /// first packet already, as a refusal would cut it.
    pub may_refuse: bool,
    /// Upstreams that left its first packet unanswered.
    pub tried: &'a [TargetKey],
}
