//! Messages between entries, one to a datagram.

use bincode::error::{DecodeError, EncodeError};
use currantgate_flow::Forward;
use serde::{Deserialize, Serialize};

/// A message between entries, one to a datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A message about the liveness of entries and upstreams.
    Members(currantgate_membership::Message),
    /// A message about buckets and flows.
    Flow(currantgate_flow::Message),
    /// A caller's packet, forwarded for the receiver to route.
    Packet {
        /// The routing state sent with the packet.
        forward: Forward,
        /// The IP packet.
        bytes: Vec<u8>,
    },
}

impl PeerMessage {
    /// Encodes the message as a datagram.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or followed by trailing bytes.
    pub(crate) fn decode(buf: &[u8]) -> Result<Self, DecodeError> {
        let config = bincode::config::standard().with_limit::<65_536>();
        let (message, read) = bincode::serde::decode_from_slice(buf, config)?;
        if read != buf.len() {
            return Err(DecodeError::Other("trailing bytes"));
        }
        Ok(message)
    }
}
