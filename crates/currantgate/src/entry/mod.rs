//! The entry daemon, which routes packets between the fabric and upstreams.

pub(crate) mod announcement_server;
mod core;
mod daemon;
mod error;
mod label;
mod log_rate_limiter;
mod metrics;
mod outputs;
mod peer_message;
mod revisions;
mod sockets;
mod telemetry;

pub use daemon::Entry;
pub use error::EntryError;
pub use sockets::EntrySockets;
