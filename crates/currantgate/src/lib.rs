//! A layer-4 load balancer for a fleet of entry VMs behind a fabric that may
//! deliver any packet to any of them.
//!
//! Decisions are made by deterministic state machines in separate crates:
//! [`currantgate_flow::Router`] decides where packets go,
//! [`currantgate_membership::Members`] which entries and upstreams are alive, and
//! [`currantgate_request::Dispatcher`] which upstream serves a request. This
//! crate adds the sockets and timers: [`Entry`] runs the first two and [`Relay`]
//! the third. [`Entry`] is the daemon that receives packets from the fabric:
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
mod process;
mod relay;
mod revisions;
mod token_entry;
mod trace;

pub use control::{
    AcceptedRevision, ApplyOutcome, ClientError, Control, ControlClient, ControlError,
    ControlHandle, ControlStart, EvacuationReply, FanOut, FileCheck, NodeStatus, ServerRead,
    Subscription, SubscriptionSettings, VersionedAnswer,
};
pub use entry::{Entry, EntryError, EntrySockets};
pub use feed::{
    DemandPublisher, EntryFlows, EvacuatedDomain, EvacuatedFlows, EvacuationListener,
    EvacuationStatus, FleetStatus, FlowReports, ListenerStatus, OpenFlows, PublishedDemand,
    SentDemand, ServiceLoad, ServiceStatus, UpstreamSlots,
};
pub use node::{ControlNode, NodeError, NodeSettings};
pub use process::{SettingsWatch, wait_for_stop_signal};
pub use relay::{Relay, RelayError, RelaySockets};
pub use token_entry::{
    DemandChange, DemandView, MalformedPacket, Packet, TokenEntry, TokenEntryError,
    TokenEntrySettings, UnsentDemand, WireFormat,
};
pub use trace::TRACE_TARGET;
