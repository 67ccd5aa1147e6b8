//! What one entry sends to another in one datagram.

use bincode::error::{DecodeError, EncodeError};
use currantgate_flow::Forward;
use serde::{Deserialize, Serialize};

/// What one entry sends to another in one datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// About who is alive.
    Members(currantgate_membership::Message),
    /// About buckets and flows.
    Flow(currantgate_flow::Message),
    /// A caller's packet that the receiver is to handle.
    Packet {
        /// What goes with the packet.
        forward: Forward,
        /// The IP packet.
        bytes: Vec<u8>,
    },
}

impl PeerMessage {
    /// Returns the datagram that carries the message.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
    }

    /// Reads a datagram; trailing bytes are an error.
    pub(crate) fn decode(buf: &[u8]) -> Result<Self, DecodeError> {
        let config = bincode::config::standard().with_limit::<65_536>();
        let (message, read) = bincode::serde::decode_from_slice(buf, config)?;
        if read != buf.len() {
            return Err(DecodeError::Other("trailing bytes"));
        }
        Ok(message)
    }
}
