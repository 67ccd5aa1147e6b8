//! Decides where, when and how often a request is tried.
//!
//! [`Dispatcher`] is a deterministic state machine: requests, answers,
//! failures and the current time go in as [`Input`], and what to open, send,
//! cancel and answer comes out as [`Output`]. It holds no clock, no socket and
//! no task. A request that may not be repeated is sent again only on proof
//! that it did not run, and a caller is told "not run" only on such proof. See
//! `docs/design/requests.md`.

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
