//! Inputs of the dispatcher.

use std::time::Instant;

use currantgate_config::{ServiceId, UpstreamId};

use crate::{AttemptId, ConnectionId, RequestId};

/// Whether a request may be processed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It must be processed at most once.
    #[default]
    Once,
    /// The site file declares that it is safe to repeat.
    Repeatable,
}

/// Health of the upstream as shown by the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The upstream served the request.
    Served,
    /// The upstream responded that it can't serve, for example with status 503.
    Failed,
}

/// One upstream that may get new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Id of the upstream, which changes with each of its starts.
    pub id: UpstreamId,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// Whether it started recently, so that its concurrency limit starts at one.
    pub warming: bool,
}

/// Event that the driver passes to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A caller's request arrived.
    Arrived {
        /// New id of the request.
        request: RequestId,
        /// Service that the request is for.
        service: ServiceId,
        /// Instant after which the caller no longer needs a response.
        deadline: Instant,
        /// Whether the request may be processed more than once.
        repeatability: Repeatability,
    },
    /// The request's body was forwarded and is not kept, so the request can't be
    /// sent again.
    BodyDiscarded {
        /// The request.
        request: RequestId,
    },
    /// The caller disconnected or reset its stream.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// The upstreams that may get new attempts of a service changed.
    Upstreams {
        /// The service.
        service: ServiceId,
        /// Full list of its upstreams that may get new attempts.
        upstreams: Vec<UpstreamView>,
    },
    /// A connection requested with [`crate::Output::Open`] is open.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection requested with [`crate::Output::Open`] could not be opened.
    ConnectFailed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The head of a response was received.
    ResponseHead {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// Health of the upstream that it shows.
        kind: ResponseKind,
    },
    /// The whole response was received.
    ResponseEnd {
        /// The attempt that it answers.
        attempt: AttemptId,
    },
    /// The upstream provably did not process the attempt: it reset the stream
    /// with `REFUSED_STREAM`, or its GOAWAY has a lower last stream id, or the
    /// request was never written.
    NotProcessed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt failed in any other way.
    Reset {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The connection accepts no new streams; open streams continue.
    GoAway {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection was closed with all streams on it.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// The upstream acknowledged a PING.
    Pong {
        /// The connection.
        connection: ConnectionId,
    },
    /// The relay is shutting down and accepts no new requests.
    Drain,
}
