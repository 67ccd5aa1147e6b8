//! Reasons for which a request gets no upstream's response.

use derive_more::Display;

/// Reason for which a request gets no upstream's response.
///
/// The variant is a guarantee to the caller: only [`Refusal::NotRun`] means
/// that the request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request provably did not run.
    #[display("not run: {_0}")]
    NotRun(NotRunReason),
    /// The request may have run.
    #[display("outcome unknown: {_0}")]
    OutcomeUnknown(UnknownReason),
}

/// Reason for which a request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The relay is shutting down.
    #[display("the relay is stopping")]
    Draining,
    /// The service's queue is full, or its expected wait exceeds the request's deadline.
    #[display("the service is overloaded")]
    Overloaded,
    /// The service has no upstream, or none with a closed circuit.
    #[display("no upstream is available")]
    NoUpstream,
    /// The deadline passed, or would pass before the expected response time.
    #[display("the deadline leaves no time")]
    Expired,
    /// Upstreams refused it, and no further attempt is allowed or possible.
    #[display("upstreams refused it")]
    Refused,
}

/// Reason for which it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The attempt failed without proof that it was not processed.
    #[display("the upstream broke it off")]
    Reset,
    /// The connection to the upstream closed or its PING timed out.
    #[display("the connection was lost")]
    ConnectionLost,
    /// The deadline passed after an attempt was sent.
    #[display("the deadline passed")]
    Expired,
}
