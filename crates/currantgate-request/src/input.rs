//! What the dispatcher is told.

use std::time::Instant;

use currantgate_config::{ServiceId, UpstreamId};

use crate::{AttemptId, ConnectionId, RequestId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It runs at most once.
    #[default]
    Once,
    /// The site file declares that running it again does no harm.
    Repeatable,
}

/// What an answer's head says of the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The upstream served the request.
    Served,
    /// The upstream answered that it can't serve, such as with status 503.
    Failed,
}

/// One upstream that may take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// The upstream's id, which changes with each of its starts.
    pub id: UpstreamId,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// Whether it started a short while ago and takes a growing share.
    pub warming: bool,
}

/// What the dispatcher is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A caller sent a request.
    Arrived {
        /// The request's new id.
        request: RequestId,
        /// The service that it is for.
        service: ServiceId,
        /// When its answer is of no more use to the caller.
        deadline: Instant,
        /// Whether it may run more than once.
        repeatability: Repeatability,
    },
    /// The request's body was passed on without being kept, so the request
    /// can't be sent again.
    BodyDiscarded {
        /// The request.
        request: RequestId,
    },
    /// The caller went away or reset its stream.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// The upstreams that may take new work of a service, as a whole list.
    Upstreams {
        /// The service.
        service: ServiceId,
        /// All of its upstreams that may take new work.
        upstreams: Vec<UpstreamView>,
    },
    /// A connection that was asked for is open.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection that was asked for could not be opened.
    ConnectFailed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The head of an answer came.
    ResponseHead {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// What it says of the upstream's health.
        kind: ResponseKind,
    },
    /// The whole answer came.
    ResponseEnd {
        /// The attempt that it answers.
        attempt: AttemptId,
    },
    /// There is proof that the upstream did not process the attempt: it reset
    /// the stream with `REFUSED_STREAM`, or its GOAWAY names a lower stream, or
    /// the request was never written.
    NotProcessed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt failed in any other way.
    Reset {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The connection takes no new streams; those open on it go on.
    GoAway {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection ended with all streams on it.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// The upstream answered a PING.
    Pong {
        /// The connection.
        connection: ConnectionId,
    },
    /// The relay is to stop: it takes no new requests.
    Drain,
}
