//! Distribution of accepted revisions to all entries and relays.
//!
//! Voters push revisions to fan-out VMs, which push them to the VMs of their
//! failure domain. On small sites the VMs subscribe to the voters directly. A
//! [`Publisher`] serves many subscribers, a [`Subscriber`] is connected to one
//! publisher at a time, and a fan-out VM runs both. See
//! `docs/design/control.md`.

mod adopted_file;
mod delta;
mod message;
mod publisher;
mod recent;
mod rollout_status;
mod subscriber;

pub use adopted_file::AdoptedFile;
pub use delta::Delta;
pub use message::{PublisherMessage, SubscriberMessage, Update};
pub use publisher::{Publisher, PublisherOutput, PublisherSettings, SubscriberId};
pub use recent::RecentChanges;
pub use rollout_status::RolloutStatus;
pub use subscriber::{Subscriber, SubscriberOutput, SubscriberSettings};
