//! Stand-ins for the fabric, the callers and the upstreams around the entries.
//!
//! They implement just enough of IP, TCP and the announcement protocol to run
//! the entries on loopback. An [`Upstream`] responds to segments as a kernel
//! does, so a misrouted flow is reset and its [`Caller`] counts it as broken.
//!
//! [`TokenUpstream`] and [`TokenCaller`] are the two ends of flows that are
//! routed by tokens; a [`TokenCodec`] encodes and decodes the platform's packets.

mod announcer;
mod caller;
mod caller_flow;
mod caller_report;
mod caller_settings;
mod caller_stats;
mod download;
mod entry_pool;
mod error;
mod fabric;
mod fabric_settings;
mod faults;
mod live_entries;
mod segment;
mod served_flow;
mod server;
mod settings;
mod slots;
mod spray_target;
mod token_caller;
mod token_codec;
mod token_upstream;
mod upstream;
mod upstream_settings;

pub use caller::Caller;
pub use caller_report::CallerReport;
pub use caller_settings::CallerSettings;
pub use caller_stats::CallerStats;
pub use error::StandinError;
pub use fabric::{Fabric, FabricHandle};
pub use fabric_settings::FabricSettings;
pub use faults::Faults;
pub use settings::Settings;
pub use spray_target::SprayTarget;
pub use token_caller::{TokenCaller, TokenOutcome};
pub use token_codec::{TokenCodec, TokenFlags, TokenPacket};
pub use token_upstream::{TokenUpstream, TokenUpstreamStats};
pub use upstream::Upstream;
pub use upstream_settings::UpstreamSettings;
