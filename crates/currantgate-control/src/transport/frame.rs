//! The framing of messages on a stream: length, MAC and bytes.

use std::future::poll_fn;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::TransportError;
use crate::codec;

/// The maximum size of a message with its MAC in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The size of the length field in bytes.
const LENGTH_BYTES: usize = 4;

/// The size of a MAC in bytes.
const MAC_BYTES: usize = 32;

/// The shared key with which messages are authenticated.
pub type Secret = [u8; 32];

/// Reads messages from a stream.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
    secret: Secret,
    buf: BytesMut,
}

impl FrameReader {
    /// Returns a reader of `stream`.
    pub fn new(stream: RecvStream, secret: Secret) -> Self {
        Self {
            stream,
            secret,
            buf: BytesMut::new(),
        }
    }

    /// Returns the next message, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream fails or a message has a size out of
    /// range, a wrong MAC or can't be decoded. The stream must not be used again.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, TransportError> {
        loop {
            if let Some(payload) = self.take_frame()? {
                return Ok(Some(codec::decode(&payload)?));
            }
            match self.stream.data().await.transpose()? {
                Some(data) => {
                    self.stream.flow_control().release_capacity(data.len())?;
                    self.buf.extend_from_slice(&data);
                }
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(TransportError::Truncated),
            }
        }
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>, TransportError> {
        let Some(head) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*head) as usize;
        if !(MAC_BYTES..=MAX_MESSAGE_BYTES).contains(&len) {
            return Err(TransportError::TooLarge(len));
        }
        if self.buf.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let mut frame = self.buf.split_to(len).freeze();
        let mac = frame.split_to(MAC_BYTES);
        let expected = blake3::keyed_hash(&self.secret, &frame);
        // `blake3::Hash` compares in constant time.
        let authentic = blake3::Hash::from_slice(&mac).is_ok_and(|mac| mac == expected);
        if !authentic {
            return Err(TransportError::NotAuthentic);
        }
        Ok(Some(frame))
    }
}

/// Writes messages to a stream.
#[derive(Debug)]
pub struct FrameWriter {
    stream: SendStream<Bytes>,
    secret: Secret,
}

impl FrameWriter {
    /// Returns a writer to `stream`.
    pub fn new(stream: SendStream<Bytes>, secret: Secret) -> Self {
        Self { stream, secret }
    }

    /// Writes a message as fast as flow control allows.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is too large or the stream fails. The
    /// stream must not be used again.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), TransportError> {
        let mut frame = encode(message, &self.secret)?;
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let capacity = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let capacity = capacity.ok_or(TransportError::Truncated)??;
            let part = frame.split_to(capacity.min(frame.len()));
            self.stream.send_data(part, false)?;
        }
        Ok(())
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream has failed.
    pub fn finish(mut self) -> Result<(), TransportError> {
        Ok(self.stream.send_data(Bytes::new(), true)?)
    }
}

fn encode(message: &impl Serialize, secret: &Secret) -> Result<Bytes, TransportError> {
    let payload = codec::encode(message);
    let len = MAC_BYTES + payload.len();
    if len > MAX_MESSAGE_BYTES {
        return Err(TransportError::TooLarge(len));
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + len);
    frame.put_u32(u32::try_from(len).map_err(|_| TransportError::TooLarge(len))?);
    frame.put_slice(blake3::keyed_hash(secret, &payload).as_bytes());
    frame.put_slice(&payload);
    Ok(frame.freeze())
}
