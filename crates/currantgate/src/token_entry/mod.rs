//! The token entry: takes packets of any format and hands each to the upstream
//! that its token names.

mod daemon;
mod decision_log;
mod error;
mod format;
mod metrics;
mod packets;
mod routing;
mod settings;

pub use daemon::TokenEntry;
pub use error::TokenEntryError;
pub use format::{MalformedPacket, Packet, WireFormat};
pub use settings::TokenEntrySettings;
