//! What the router wants done.

use currantgate_config::EntryId;
use currantgate_packet::{Packet, Refusal};

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
    /// Tell a caller that waits for answers that its flow can't be served.
    Refuse {
        /// Stands for the caller's last packet; its length is zero.
        packet: Packet,
        /// What the caller is told.
        refusal: Refusal,
    },
}
