//! The control plane's configuration store, replicated by a quorum of control
//! VMs.
//!
//! [`Replica`] implements the consensus as a deterministic state machine. Its
//! inputs are messages, operators' requests, confirmations of synced writes and
//! the current time; its outputs are messages, writes and answers. It performs
//! no I/O and has no clock and no task of its own. See `docs/design/control.md`.

mod apply_request;
mod batch;
mod change;
mod codec;
mod digest;
mod distribution;
mod domain_spread;
mod entry;
mod evacuation;
mod id;
mod join_time;
mod members;
mod message;
mod output;
mod progress;
mod raft_log;
mod read;
mod replica;
mod settings;
mod site_state;
mod snapshot;
mod snapshot_format;
mod status;
mod storage;
mod timing;
mod transport;
mod voter_change;
mod voter_planner;
mod voter_spread;

pub use apply_request::{ApplyAnswer, ApplyRequest, RefuseReason, VersionedRequest};
pub use batch::{Batch, HardState, RecoveredState};
pub use change::{Change, RevisionId};
pub use digest::Digest;
pub use distribution::{
    AdoptedFile, Delta, Publisher, PublisherMessage, PublisherOutput, PublisherSettings,
    RecentChanges, RolloutStatus, Subscriber, SubscriberId, SubscriberMessage, SubscriberOutput,
    SubscriberSettings, Update,
};
pub use entry::{Command, Entry};
pub use evacuation::{
    EvacuationAction, EvacuationAnswer, EvacuationOrder, Evacuations, OrderLimit,
    PublishedEvacuations,
};
pub use id::{BatchId, Index, RequestId, Revision, Term, VoterId};
pub use join_time::{id_in_new_site, id_of_joining};
pub use members::Members;
pub use message::{AppendOutcome, Message};
pub use output::Output;
pub use read::{Freshness, LocalRead, ReadAnswer};
pub use replica::Replica;
pub use settings::ReplicaSettings;
pub use site_state::SiteState;
pub use snapshot::Snapshot;
pub use status::{RoleName, Status};
pub use storage::{DataDirectory, Disk, Journal, StorageError, ValueFile};
pub use timing::{
    HEARTBEAT_INTERVAL, LEASE_DURATION, MAX_CLOCK_DRIFT_PERCENT, MIN_ELECTION_TIMEOUT,
    PUBLISHER_HEARTBEAT_INTERVAL, PUBLISHER_TIMEOUT,
};
pub use transport::{
    Client, FrameReader, FrameWriter, IncomingStream, MAX_MESSAGE_BYTES, ReconnectBackoff, Secret,
    Server, ServerSettings, TransportError, first_to_end,
};
pub use voter_change::{ReplaceAnswer, ReplaceRequest, VoterChange};
pub use voter_planner::{VoterPlanner, VoterPlannerSettings};
pub use voter_spread::VoterSpread;
