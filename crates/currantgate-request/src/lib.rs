//! Request dispatch: admission, load balancing, deadlines and retries.
//!
//! [`Dispatcher`] is a deterministic state machine: requests, responses,
//! failures and the current time go in as [`Input`], and commands to open, send,
//! cancel and respond come out as [`Output`]. It holds no clock, socket or
//! task. A request that is not repeatable is retried only if it provably was
//! not processed, and only then is a caller's request rejected as "not run".
//! See `docs/design/requests.md`.

mod attempt;
mod circuit;
mod connection;
mod decaying_average;
mod dispatcher;
mod id;
mod input;
mod limit;
mod output;
mod queue;
mod refusal;
mod request;
mod retry_budget;
mod service;
mod settings;
mod upstream;

pub use dispatcher::Dispatcher;
pub use id::{AttemptId, ConnectionId, RequestId};
pub use input::{Input, Repeatability, ResponseKind, UpstreamView};
pub use output::Output;
pub use refusal::{NotRunReason, Refusal, UnknownReason};
pub use settings::Settings;
