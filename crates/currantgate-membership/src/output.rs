//! Outputs of the membership state machine.

use currantgate_config::EntryId;

use crate::Message;

/// Output of the membership state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another entry.
    Send {
        /// Id of the other entry.
        to: EntryId,
        /// Message to send.
        message: Message,
    },
    /// The set of upstreams changed: see [`crate::Members::upstreams`].
    UpstreamsChanged,
    /// The set of live entries changed: see [`crate::Members::entries`].
    EntriesChanged,
    /// This entry was paused for longer than the timeout of the others: it is in stage
    /// [`crate::EntryStage::Joining`] again, and its state may be outdated.
    Resync,
}
