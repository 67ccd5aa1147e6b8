//! Decides which upstream each packet goes to, and keeps flows at their
//! upstream while entries and upstreams change.
//!
//! [`Router`] is a deterministic state machine. Its inputs are packets,
//! messages from other entries and views of the live entries and upstreams,
//! each with the current time; its outputs are verdicts and messages. It holds
//! no clock, socket or task. See `docs/design/flow-routing.md`.

mod answer;
mod balance;
mod batch;
mod bucket;
mod coordinator;
mod copy;
mod delivery;
mod drop_reason;
mod filter;
mod first_packet;
mod flow_map;
mod forward;
mod gone_flows;
mod loads;
mod message;
mod outbox;
mod output;
mod participant;
mod phase;
mod pin;
mod pull;
mod record;
mod rendezvous;
mod replicas;
mod router;
mod routing;
mod services;
mod settings;
mod sync;
mod table;
mod transfer;
mod upstream_status;
mod verdict;
mod version;
mod views;

pub use drop_reason::DropReason;
pub use forward::Forward;
pub use message::{BucketIndex, BucketStep, ChunkVersions, Message, Step, UpstreamFlowCount};
pub use output::Output;
pub use phase::Phase;
pub use pin::PinGroup;
pub use router::Router;
pub use settings::RouterSettings;
pub use sync::BUCKETS_PER_CHUNK;
pub use verdict::{AnswerVerdict, Verdict};
pub use version::Version;
