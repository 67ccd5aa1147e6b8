//! Why a request has no answer, and whether it may have run.

use derive_more::Display;

/// Why a request has no answer.
///
/// The two variants are the promise to the caller: only
/// [`Refusal::NotRun`] says that the request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It is certain that the request did not run.
    #[display("not run: {_0}")]
    NotRun(NotRunReason),
    /// The request may have run.
    #[display("outcome unknown: {_0}")]
    OutcomeUnknown(UnknownReason),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The relay is stopping.
    #[display("the relay is stopping")]
    Draining,
    /// The service's queue is full, or too long for the request's deadline.
    #[display("the service is overloaded")]
    Overloaded,
    /// No upstream of the service can take work.
    #[display("no upstream is available")]
    NoUpstream,
    /// The deadline passed, or would pass before an answer.
    #[display("the deadline leaves no time")]
    Expired,
    /// Upstreams refused it, and it may not or can't be sent again.
    #[display("upstreams refused it")]
    Refused,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The upstream broke the request off.
    #[display("the upstream broke it off")]
    Reset,
    /// The connection to the upstream ended or went silent.
    #[display("the connection was lost")]
    ConnectionLost,
    /// The deadline passed before an answer.
    #[display("the deadline passed")]
    Expired,
}
