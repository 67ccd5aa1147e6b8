//! Outputs of the dispatcher.

use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;

use crate::{AttemptId, ConnectionId, Refusal, RequestId};

/// Command that the dispatcher gives to the driver.
///
/// A request is settled by exactly one of [`Output::EndResponse`],
/// [`Output::AbortResponse`] and [`Output::Reject`], or by its caller's
/// cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection to an upstream.
    Open {
        /// Id of the new connection.
        connection: ConnectionId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Send a request on an open connection.
    Send {
        /// The request.
        request: RequestId,
        /// Id of the new attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// Open connection to the upstream.
        connection: ConnectionId,
        /// Instant after which the caller no longer needs a response.
        deadline: Instant,
    },
    /// Cancel the attempt: its response is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Forward the attempt's response to the caller, from its head onwards.
    ForwardResponse {
        /// The request.
        request: RequestId,
        /// Attempt whose response is forwarded.
        attempt: AttemptId,
    },
    /// End the caller's stream: the response is complete.
    EndResponse {
        /// The request.
        request: RequestId,
    },
    /// Reset the caller's stream: the response broke off.
    AbortResponse {
        /// The request.
        request: RequestId,
    },
    /// Reject the request: no upstream's response will be forwarded.
    Reject {
        /// The request.
        request: RequestId,
        /// Reason, and whether the request may have run.
        refusal: Refusal,
        /// Delay after which the caller may retry; only set if the request did not run.
        retry_after: Option<Duration>,
    },
    /// Send a PING on a connection.
    Ping {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close a connection, which carries no attempt that is still needed.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
}
