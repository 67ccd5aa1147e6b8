//! The control daemons, which replicate and distribute the accepted site file, and
//! their clients in operators' commands, entries and relays.

mod accepted_revision;
mod call;
mod client;
mod core;
mod daemon;
mod error;
mod evacuation;
mod fan_out;
mod follower;
mod handle;
mod incoming_streams;
mod leader_log;
mod metrics;
mod peer;
mod publishing;
mod spread_log;
mod subscription;
mod writer;

pub use accepted_revision::AcceptedRevision;
pub use call::NodeStatus;
pub use client::{ApplyOutcome, ControlClient, ServerRead};
pub use core::FileCheck;
pub(crate) use core::HandOver;
pub use daemon::{Control, ControlStart};
pub(crate) use daemon::{Extension, to_async_listener};
pub use error::{ClientError, ControlError};
pub use evacuation::EvacuationReply;
pub(crate) use evacuation::LocalEvacuations;
pub use fan_out::FanOut;
pub use handle::{ControlHandle, VersionedAnswer};
pub use subscription::{Subscription, SubscriptionSettings};
