//! The life of one attempt.

use std::time::Instant;

use currantgate_config::UpstreamId;

use crate::{ConnectionId, RequestId};

/// The stage of an attempt's life; it only moves downwards in this list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// It holds a slot and waits for its connection; nothing was sent.
    Waiting,
    /// It was sent at this instant and may run.
    Sent(Instant),
    /// Its answer, sent for at this instant, is being passed to the caller.
    Answering(Instant),
}

/// One attempt to have a request answered by one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) upstream: UpstreamId,
    pub(crate) connection: ConnectionId,
    pub(crate) stage: AttemptStage,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// There is proof that it did not run.
    NotProcessed,
    /// Its connection took no more streams after doing work: proof that it did
    /// not run, and nothing against the upstream.
    EndedInPlan,
    /// The upstream broke it off.
    Reset,
    /// Its connection was lost.
    ConnectionLost,
}

impl Failure {
    /// Tells whether the failure proves that the attempt did not run.
    pub(crate) fn is_proof(self) -> bool {
        matches!(self, Self::NotProcessed | Self::EndedInPlan)
    }
}
