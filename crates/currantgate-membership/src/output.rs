//! What the membership state machine wants done.

use currantgate_config::EntryId;

use crate::Message;

/// What the membership state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another entry.
    Send {
        /// The other entry.
        to: EntryId,
        /// What it is told.
        message: Message,
    },
    /// The set of upstreams changed: see [`crate::Members::upstreams`].
    UpstreamsChanged,
    /// The set of live entries changed: see [`crate::Members::entries`].
    EntriesChanged,
    /// This entry stood still for longer than the others wait: it is back in
    /// stage [`crate::EntryStage::Joining`], and what it knew may be old.
    Resync,
}
