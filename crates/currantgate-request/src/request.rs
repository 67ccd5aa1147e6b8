//! State of one pending request.

use std::time::Instant;

use currantgate_config::ServiceId;

use crate::{AttemptId, Repeatability};

/// Stage of a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It waits in the queue of its service.
    Queued,
    /// The attempt with this id holds a slot for it.
    Running(AttemptId),
}

/// State of a pending request: one without a final output.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) service: ServiceId,
    pub(crate) deadline: Instant,
    pub(crate) repeatability: Repeatability,
    pub(crate) stage: RequestStage,
    /// Number of attempts that were sent.
    pub(crate) sent: u32,
    /// Number of these that failed with a graceful close, which the limit of
    /// attempts leaves out.
    pub(crate) graceful_closes: u32,
    /// Whether an attempt failed without proof that it was not processed.
    pub(crate) may_have_run: bool,
    /// Whether the body is still buffered and can be sent again.
    pub(crate) has_body: bool,
}

impl Request {
    /// Returns whether another attempt is safe: the request is repeatable or
    /// provably was not processed so far.
    pub(crate) fn may_retry(&self) -> bool {
        !self.may_have_run || self.repeatability == Repeatability::Repeatable
    }
}
