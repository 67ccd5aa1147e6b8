//! Feeds: what each control VM tells entries and the other control VMs.
//!
//! An entry holds one feed to every control VM. Each feed carries what that
//! VM heard itself, so that no feed depends on a quorum and a cut leaves the
//! feeds of the own side. See `docs/design/platform.md`.

mod client;
mod links;
mod listeners;
mod message;
mod revision_tracker;
mod server;
mod status;

pub(crate) use links::{FeedEvent, FeedLinks, FeedLinksSettings};
pub(crate) use message::{FEED_PATH, FeedHello, FeedMessage, Heartbeat};
pub(crate) use revision_tracker::RevisionTracker;
pub(crate) use server::{FeedSource, serve_feed};
pub use status::{FleetStatus, ListenerStatus, ServiceStatus};
