//! What the router wants done.

use currantgate_config::EntryId;

use crate::Message;

/// What the router wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another entry.
    Send {
        /// The other entry.
        to: EntryId,
        /// What it is told.
        message: Message,
    },
}
