//! The entry daemon: packets from the fabric to upstreams and back.

pub(crate) mod announce;
mod core;
mod daemon;
mod error;
mod label;
mod log_limit;
mod metrics;
mod outputs;
mod peer_message;
mod reports;
mod revisions;
mod sockets;

pub use daemon::Entry;
pub use error::EntryError;
pub use sockets::EntrySockets;
