//! Forwarding of a request's body to an upstream.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::HeaderMap;

/// The side that ended a request's body before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The caller reset its stream.
    Caller,
    /// The upstream accepts no more data.
    Upstream,
}

/// A request's body, read only as fast as an upstream accepts it, and buffered for
/// replay in another attempt while it is small.
pub(crate) struct Body {
    rx: RecvStream,
    /// Chunks buffered for replay.
    replay: Vec<Bytes>,
    /// Bytes read so far.
    read_bytes: usize,
    max_replay_bytes: usize,
    /// Called once the body can't be replayed any more.
    on_discard: Box<dyn Fn()>,
    is_discarded: bool,
    /// Number of buffered chunks that the current attempt has begun to send.
    replayed: usize,
    /// Data that the current attempt has not sent yet.
    pending: Bytes,
    /// Bytes of flow control to release to the caller once they are sent to the upstream.
    unreleased: usize,
    /// The trailers, once the body has been read to its end.
    end: Option<Option<HeaderMap>>,
}

impl Body {
    pub(crate) fn new(rx: RecvStream, max_replay_bytes: usize, on_discard: Box<dyn Fn()>) -> Self {
        Self {
            rx,
            replay: Vec::new(),
            read_bytes: 0,
            max_replay_bytes,
            on_discard,
            is_discarded: false,
            replayed: 0,
            pending: Bytes::new(),
            unreleased: 0,
            end: None,
        }
    }

    /// Returns whether the request has no body.
    pub(crate) fn is_empty(&self) -> bool {
        self.replay.is_empty() && !self.is_discarded && self.rx.is_end_stream()
    }

    /// Restarts at the beginning of the body for another attempt.
    pub(crate) fn rewind(&mut self) {
        self.replayed = 0;
        self.pending = Bytes::new();
        self.release(self.unreleased);
    }

    /// Sends the rest of the body. Cancel safe: it may be dropped and called again.
    pub(crate) async fn send_to(&mut self, tx: &mut SendStream<Bytes>) -> Result<(), BodyError> {
        loop {
            while !self.pending.is_empty() {
                self.send_part(tx).await?;
            }
            if self.replayed < self.replay.len() {
                self.pending = self.replay[self.replayed].clone();
                self.replayed += 1;
            } else if let Some(trailers) = &self.end {
                return end_stream(tx, trailers.clone());
            } else {
                self.read().await?;
            }
        }
    }

    /// Sends as much of the pending data as the upstream's window allows.
    async fn send_part(&mut self, tx: &mut SendStream<Bytes>) -> Result<(), BodyError> {
        let capacity = wait_for_capacity(tx, self.pending.len()).await;
        let capacity = capacity.ok_or(BodyError::Upstream)?;
        let part = self.pending.split_to(capacity.min(self.pending.len()));
        let len = part.len();
        tx.send_data(part, false).map_err(|_| BodyError::Upstream)?;
        self.release(len.min(self.unreleased));
        Ok(())
    }

    /// Reads the next chunk, or the trailers at the end.
    async fn read(&mut self) -> Result<(), BodyError> {
        match self.rx.data().await {
            Some(Ok(chunk)) => self.buffer(chunk),
            Some(Err(_)) => return Err(BodyError::Caller),
            None => {
                let trailers = self.rx.trailers().await;
                self.end = Some(trailers.map_err(|_| BodyError::Caller)?);
            }
        }
        Ok(())
    }

    /// Makes a chunk pending, and buffers it while the body fits the replay buffer.
    fn buffer(&mut self, chunk: Bytes) {
        self.unreleased += chunk.len();
        self.read_bytes += chunk.len();
        if self.read_bytes <= self.max_replay_bytes {
            // A copy, since a chunk may keep a much larger buffer allocated.
            self.replay.push(BytesMut::from(&chunk[..]).freeze());
            self.replayed += 1;
        } else if !self.is_discarded {
            self.is_discarded = true;
            self.replay.clear();
            self.replayed = 0;
            (self.on_discard)();
        }
        self.pending = chunk;
    }

    /// Releases flow control to the caller.
    fn release(&mut self, bytes: usize) {
        self.unreleased -= bytes;
        // Fails only if the caller has reset the stream, which the next read returns.
        let _ = self.rx.flow_control().release_capacity(bytes);
    }
}

/// Waits until some of `wanted` bytes may be sent; returns how many, or `None` if the
/// stream is closed.
pub(crate) async fn wait_for_capacity(tx: &mut SendStream<Bytes>, wanted: usize) -> Option<usize> {
    tx.reserve_capacity(wanted);
    while tx.capacity() == 0 {
        poll_fn(|cx| tx.poll_capacity(cx)).await?.ok()?;
    }
    Some(tx.capacity())
}

/// Ends a stream after its data, with the trailers if any.
fn end_stream(tx: &mut SendStream<Bytes>, trailers: Option<HeaderMap>) -> Result<(), BodyError> {
    let ended = match trailers {
        Some(trailers) => tx.send_trailers(trailers),
        None => tx.send_data(Bytes::new(), true),
    };
    ended.map_err(|_| BodyError::Upstream)
}
