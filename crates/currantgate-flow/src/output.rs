//! The actions that the router requests.

use currantgate_config::EntryId;
use currantgate_packet::{Packet, Refusal};

use crate::Message;

/// An action that the router requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another entry.
    Send {
        /// The receiving entry.
        to: EntryId,
        /// The message.
        message: Message,
    },
    /// Notify a caller that sends nothing itself that its flow can't be served.
    Refuse {
        /// A packet in place of the caller's last one, with length zero.
        packet: Packet,
        /// The refusal to send.
        refusal: Refusal,
    },
}
