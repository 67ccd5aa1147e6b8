//! The token entry, which receives packets of any format and forwards each to the
//! upstream that its token identifies.

mod daemon;
mod decision_log;
mod error;
mod format;
mod metrics;
mod packet_socket;
mod routing;
mod settings;

pub use daemon::TokenEntry;
pub use error::TokenEntryError;
pub use format::{MalformedPacket, Packet, WireFormat};
pub use settings::TokenEntrySettings;
