//! Who is alive: upstream leases, entry heartbeats and the traffic that
//! spreads them within a byte budget.
//!
//! [`Members`] is a deterministic state machine. It takes announcements from
//! upstreams, messages from other entries and the current time, and gives out
//! messages to send and the view that routing works on. It holds no clock, no
//! socket and no task. See `docs/design/membership.md`.

mod announcement;
mod budget;
mod entry_view;
mod error;
mod lease;
mod members;
mod message;
mod presence;
mod settings;
mod state;
mod upstream;

pub use announcement::Announcement;
pub use budget::Budget;
pub use entry_view::{EntryStage, EntryView};
pub use error::AnnounceError;
pub use lease::Lease;
pub use members::{Members, Output};
pub use message::Message;
pub use presence::Presence;
pub use settings::MembersSettings;
pub use state::UpstreamState;
pub use upstream::Upstream;
