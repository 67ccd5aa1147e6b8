//! The relay daemon: requests from callers to upstreams and back.
//!
//! One [`currantgate_request::Dispatcher`] makes all decisions; the modules
//! here only carry them out. See `docs/design/requests.md`.

mod answer;
mod attempt;
mod body;
mod caller;
mod core;
mod daemon;
mod error;
mod exchange;
mod headers;
mod linger;
mod metrics;
mod refusal;
mod revisions;
mod served;
mod services;
mod shared;
mod sockets;
mod tcp;
mod trace_context;
mod upstream;

pub use daemon::Relay;
pub use error::RelayError;
pub use sockets::RelaySockets;
