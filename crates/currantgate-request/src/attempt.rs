//! State of one attempt and the ways in which it fails.

use std::time::Instant;

use currantgate_config::UpstreamId;

use crate::{ConnectionId, RequestId};

/// Stage of an attempt; it only moves down this list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// It holds a slot and waits for its connection to open; nothing was sent.
    Connecting,
    /// It was sent at this instant, and the upstream may be processing it.
    Sent(Instant),
    /// It was sent at this instant, and its response is being forwarded to the caller.
    Responding(Instant),
}

/// One attempt to serve a request on one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) upstream: UpstreamId,
    pub(crate) connection: ConnectionId,
    pub(crate) stage: AttemptStage,
}

/// Way in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The upstream provably did not process it.
    NotProcessed,
    /// A connection that had served other streams stopped accepting new ones. The
    /// attempt provably was not processed, and the upstream is not at fault.
    GracefulClose,
    /// It failed without proof, for example because the upstream reset the stream.
    Reset,
    /// Its connection was lost before its response was complete.
    ConnectionLost,
}

impl Failure {
    /// Returns whether the failure proves that the attempt was not processed.
    pub(crate) fn proves_not_processed(self) -> bool {
        matches!(self, Self::NotProcessed | Self::GracefulClose)
    }
}
