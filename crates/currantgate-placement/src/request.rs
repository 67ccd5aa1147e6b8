//! Requests to place a new flow.

use std::time::Duration;

use crate::TargetKey;

/// Priority of a flow under overload; smaller values are admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Whether the flow's requests are idempotent. Their callers can retry after any
    /// outcome, so that other requests are admitted first.
    pub is_idempotent: bool,
    /// Level set by the operator; 0 is the highest.
    pub level: u32,
}

/// A request to place a new flow.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the flow is for.
    pub service: &'a str,
    /// Priority of the flow under overload.
    pub priority: Priority,
    /// Time within which an answer is of full value to the caller.
    pub latency_target: Duration,
    /// Whether the flow may be refused under overload. It may not when an upstream
    /// may have answered an earlier copy of its first packet, as a refusal would
    /// reset the flow.
    pub may_refuse: bool,
    /// Upstreams that left the flow's first packet unanswered.
    pub tried: &'a [TargetKey],
}
