//! The control node: a control VM with the registry of upstreams and the
//! feeds that tell both to entries.

mod daemon;
mod error;
mod identity;
mod keeper;
mod metrics;
mod others;
mod settings;

pub use daemon::ControlNode;
pub use error::NodeError;
pub use settings::NodeSettings;
