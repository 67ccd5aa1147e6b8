//! The control node: a control VM with the registry of upstreams, and the feeds
//! that send the configuration and the upstreams to entries.

mod daemon;
mod error;
mod evacuations;
mod identity;
mod metrics;
mod peer_feeds;
mod persistence;
mod settings;

pub use daemon::ControlNode;
pub use error::NodeError;
pub use settings::NodeSettings;
