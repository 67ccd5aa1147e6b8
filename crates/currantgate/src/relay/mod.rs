//! The relay daemon, which forwards requests of callers to upstreams.
//!
//! A [`currantgate_request::Dispatcher`] makes all decisions; the modules here do the
//! I/O. See `docs/design/requests.md`.

mod active_service;
mod attempt;
mod caller;
mod core;
mod daemon;
mod error;
mod exchange;
mod headers;
mod lingering_close;
mod metrics;
mod refusal;
mod request_body;
mod response_body;
mod revisions;
mod services;
mod shared;
mod sockets;
mod tcp;
mod trace_context;
mod upstream;

pub use daemon::Relay;
pub use error::RelayError;
pub use sockets::RelaySockets;
