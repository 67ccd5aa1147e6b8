//! The token entry, which receives packets of any format and forwards each to the
//! upstream that its token identifies.

mod admission_metrics;
mod daemon;
mod decision_log;
mod demand_figures;
mod demand_metrics;
mod demand_monitor;
mod demand_view;
mod error;
mod format;
mod limit_metrics;
mod limit_monitor;
mod metrics;
mod packet_socket;
mod routing;
mod service_load;
mod settings;
mod shares_log;
mod stall_detector;
mod unsent_demand;
mod waiting_packets;

pub use daemon::TokenEntry;
pub use demand_view::{DemandChange, DemandView};
pub use error::TokenEntryError;
pub use format::{MalformedPacket, Packet, WireFormat};
pub use settings::TokenEntrySettings;
pub use unsent_demand::UnsentDemand;
