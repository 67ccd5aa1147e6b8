//! What the dispatcher wants done.

use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;

use crate::{AttemptId, ConnectionId, Refusal, RequestId};

/// What the dispatcher wants done.
///
/// A request is settled by exactly one of [`Output::EndResponse`],
/// [`Output::AbortResponse`] and [`Output::Reject`], or by its caller's
/// cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection to an upstream.
    Open {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Send a request on an open connection.
    Send {
        /// The request.
        request: RequestId,
        /// The id of the new attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// The connection to it.
        connection: ConnectionId,
        /// When the answer is of no more use.
        deadline: Instant,
    },
    /// Tell the upstream that the attempt's answer is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pass the attempt's answer on to the caller, from its head onwards.
    ForwardResponse {
        /// The request.
        request: RequestId,
        /// The attempt whose answer it is.
        attempt: AttemptId,
    },
    /// The caller has the whole answer: end its stream.
    EndResponse {
        /// The request.
        request: RequestId,
    },
    /// The answer broke off: reset the caller's stream.
    AbortResponse {
        /// The request.
        request: RequestId,
    },
    /// Tell the caller that there is no answer.
    Reject {
        /// The request.
        request: RequestId,
        /// Why, and whether it may have run.
        refusal: Refusal,
        /// When the caller may ask again, where that does no harm.
        retry_after: Option<Duration>,
    },
    /// Send a PING.
    Ping {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close a connection; nothing of use is left on it.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
}
