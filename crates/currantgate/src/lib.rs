//! A layer-4 load balancer for a fleet of entry VMs behind a fabric that may
//! hand any packet to any of them.
//!
//! The decisions are deterministic state machines in crates of their own:
//! [`currantgate_flow::Router`] decides where packets go and
//! [`currantgate_membership::Members`] decides who is alive. This crate puts
//! sockets and timers around them. [`Relay`] does the same around
//! [`currantgate_request::Dispatcher`], which decides about requests. [`Entry`] is the daemon that takes packets
//! from the fabric:
//!
//! ```no_run
//! use std::path::Path;
//!
//! use currantgate::{Entry, EntrySockets};
//! use currantgate_config::{EntrySettings, Site};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = EntrySettings::load(Path::new("entry-1.toml"))?;
//! let site = Site::load(&settings.site)?;
//! let sockets = EntrySockets::bind(&settings.listen)?;
//! let entry = Entry::start(&settings, &site, sockets)?;
//! entry.stop().await;
//! # Ok(())
//! # }
//! ```

mod control;
mod entry;
mod feed;
mod node;
mod relay;
mod revisions;
mod token_entry;
mod trace;

pub use control::{
    Accepted, Applied, ClientError, Control, ControlClient, ControlError, ControlHandle,
    ControlStart, FanOut, FileCheck, NodeStatus, Shown, Subscription, SubscriptionSettings,
    VersionedAnswer,
};
pub use entry::{Entry, EntryError, EntrySockets};
pub use feed::{FleetStatus, ListenerStatus, ServiceStatus};
pub use node::{ControlNode, NodeError, NodeSettings};
pub use relay::{Relay, RelayError, RelaySockets};
pub use token_entry::{
    MalformedPacket, Packet, TokenEntry, TokenEntryError, TokenEntrySettings, WireFormat,
};
pub use trace::TRACE_TARGET;
