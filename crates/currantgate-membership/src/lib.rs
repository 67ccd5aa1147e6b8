//! Group membership: leases of upstreams, heartbeats of entries, and their
//! replication by gossip within a byte budget.
//!
//! [`Members`] is a deterministic state machine. Its inputs are announcements of
//! upstreams, messages from other entries and the current time; its outputs are
//! messages to send and the view that routing is based on. It holds no clock,
//! socket or task. See `docs/design/membership.md`.

mod announcement;
mod budget;
mod checks;
mod entry_view;
mod error;
mod exchange;
mod expiry;
mod heartbeats;
mod held_record;
mod lease;
mod leases;
mod liveness;
mod members;
mod message;
mod outbox;
mod output;
mod presence;
mod record;
mod sending;
mod services;
mod settings;
mod state;
mod table;
mod upstream;

pub use announcement::Announcement;
pub use budget::Budget;
pub use entry_view::{EntryStage, EntryView};
pub use error::AnnounceError;
pub use lease::Lease;
pub use members::Members;
pub use message::{LivenessReport, Message};
pub use output::Output;
pub use presence::Presence;
pub use record::{LeaseStatus, Record};
pub use settings::MembersSettings;
pub use state::UpstreamState;
pub use upstream::Upstream;
