//! One request that is not yet settled.

use std::time::Instant;

use currantgate_config::ServiceId;

use crate::{AttemptId, Repeatability};

/// The stage of a request's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It waits for a slot.
    Queued,
    /// It has a slot.
    Running(AttemptId),
}

/// One request that is not yet settled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) service: ServiceId,
    pub(crate) deadline: Instant,
    pub(crate) repeatability: Repeatability,
    pub(crate) stage: RequestStage,
    /// Attempts that were sent.
    pub(crate) sent: u32,
    /// Those of them that ended with their connection in plan.
    pub(crate) excused: u32,
    /// Whether an attempt failed without proof that it did not run.
    pub(crate) may_have_run: bool,
    /// Whether the body is still there to be sent again.
    pub(crate) has_body: bool,
}

impl Request {
    /// Tells whether running it once more keeps the promise to its caller.
    pub(crate) fn may_run_again(&self) -> bool {
        !self.may_have_run || self.repeatability == Repeatability::Repeatable
    }
}
