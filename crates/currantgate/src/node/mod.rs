//! The control node: a control VM with the registry of upstreams and the
//! feeds that tell both to entries.

mod error;
mod identity;
mod keeper;
mod node;
mod others;
mod settings;

pub use error::NodeError;
pub use node::ControlNode;
pub use settings::NodeSettings;
