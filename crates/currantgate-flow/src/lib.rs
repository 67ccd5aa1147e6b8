//! Decides which upstream each packet goes to, and keeps flows there through
//! change.
//!
//! [`Router`] is a deterministic state machine: packets, messages of other
//! entries and views of who is alive go in, with the current time; verdicts
//! and messages come out. It holds no clock, no socket and no task. See
//! `docs/design/flow-routing.md`.

mod drop_reason;
mod forward;
mod message;
mod output;
mod record;
mod rendezvous;
mod router;
mod settings;
mod verdict;

pub use drop_reason::DropReason;
pub use forward::Forward;
pub use message::Message;
pub use output::Output;
pub use router::Router;
pub use settings::RouterSettings;
pub use verdict::{AnswerVerdict, Verdict};
