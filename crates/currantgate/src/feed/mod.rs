//! Feeds: streams of state that each control VM sends to its listeners, which are
//! the entries and the other control VMs.
//!
//! An entry receives one feed from every control VM. Each feed carries the reports
//! that this VM has received itself. So no feed depends on a quorum, and after a
//! network partition an entry still has the feeds from its own side. See
//! `docs/design/platform.md`.

mod client;
mod demand_publisher;
mod evacuated_flows;
pub(crate) mod evacuations;
mod flow_reports;
mod links;
mod listeners;
mod message;
mod permits;
mod published_demand;
mod revision_tracker;
mod sent_demand;
mod server;
mod source;
mod status;

pub use demand_publisher::DemandPublisher;
pub use evacuated_flows::{EntryFlows, EvacuatedFlows, OpenFlows};
pub use flow_reports::FlowReports;
pub(crate) use links::{FeedEvent, FeedLinks, FeedLinksSettings};
pub(crate) use message::{EvacuationState, FEED_PATH, FeedHello, FeedMessage, Heartbeat};
pub(crate) use permits::PermitCounts;
pub use published_demand::PublishedDemand;
pub(crate) use revision_tracker::RevisionTracker;
pub use sent_demand::SentDemand;
pub(crate) use server::serve_feed;
pub(crate) use source::FeedSource;
pub use status::{
    EvacuatedDomain, EvacuationListener, EvacuationStatus, FleetStatus, ListenerStatus,
    ServiceLoad, ServiceStatus, UpstreamSlots,
};
