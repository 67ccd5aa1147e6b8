//! How accepted revisions reach every entry and relay.
//!
//! Voters push to fan-out VMs and these to the VMs of their failure domain;
//! on small sites the VMs take them from the voters themselves. A
//! [`Publisher`] serves many subscribers, a [`Subscriber`] follows one
//! publisher at a time, and a fan-out VM is one of each. See
//! `docs/design/control.md`.

mod adopted;
mod delta;
mod message;
mod publisher;
mod recent;
mod rollout_status;
mod subscriber;

pub use adopted::AdoptedFile;
pub use delta::Delta;
pub use message::{PublisherMessage, SubscriberMessage, Update};
pub use publisher::{Publisher, PublisherOutput, PublisherSettings, SubscriberId};
pub use recent::RecentChanges;
pub use rollout_status::RolloutStatus;
pub use subscriber::{Subscriber, SubscriberOutput, SubscriberSettings};
