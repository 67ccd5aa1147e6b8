//! A request's body on its way to an upstream.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::HeaderMap;

/// Why a body can't be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The caller broke it off.
    Caller,
    /// The upstream takes no more of it.
    Upstream,
}

/// A request's body, read only as fast as an upstream takes it, and kept for
/// another attempt while it is small.
pub(crate) struct Body {
    rx: RecvStream,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    max_kept_bytes: usize,
    /// Told once the body can't be sent again.
    on_gone: Box<dyn Fn()>,
    gone: bool,
    /// Kept chunks that the current attempt was given.
    given: usize,
    /// What the current attempt has not taken yet.
    pending: Bytes,
    /// Bytes that the caller may send once the upstream has taken them.
    unreleased: usize,
    end: Option<Option<HeaderMap>>,
}

impl Body {
    pub(crate) fn new(rx: RecvStream, max_kept_bytes: usize, on_gone: Box<dyn Fn()>) -> Self {
        Self {
            rx,
            kept: Vec::new(),
            kept_bytes: 0,
            max_kept_bytes,
            on_gone,
            gone: false,
            given: 0,
            pending: Bytes::new(),
            unreleased: 0,
            end: None,
        }
    }

    /// Tells whether there is no body at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.kept.is_empty() && !self.gone && self.rx.is_end_stream()
    }

    /// Starts over for another attempt.
    pub(crate) fn rewind(&mut self) {
        self.given = 0;
        self.pending = Bytes::new();
        self.release(self.unreleased);
    }

    /// Passes on the rest of the body; may be dropped and called again.
    pub(crate) async fn pump(&mut self, tx: &mut SendStream<Bytes>) -> Result<(), BodyError> {
        loop {
            while !self.pending.is_empty() {
                self.send_part(tx).await?;
            }
            if self.given < self.kept.len() {
                self.pending = self.kept[self.given].clone();
                self.given += 1;
            } else if let Some(trailers) = &self.end {
                return end(tx, trailers.clone());
            } else {
                self.read().await?;
            }
        }
    }

    async fn send_part(&mut self, tx: &mut SendStream<Bytes>) -> Result<(), BodyError> {
        let capacity = capacity(tx, self.pending.len()).await;
        let capacity = capacity.ok_or(BodyError::Upstream)?;
        let part = self.pending.split_to(capacity.min(self.pending.len()));
        let len = part.len();
        tx.send_data(part, false).map_err(|_| BodyError::Upstream)?;
        self.release(len.min(self.unreleased));
        Ok(())
    }

    async fn read(&mut self) -> Result<(), BodyError> {
        match self.rx.data().await {
            Some(Ok(chunk)) => self.keep(chunk),
            Some(Err(_)) => return Err(BodyError::Caller),
            None => {
                let trailers = self.rx.trailers().await;
                self.end = Some(trailers.map_err(|_| BodyError::Caller)?);
            }
        }
        Ok(())
    }

    fn keep(&mut self, chunk: Bytes) {
        self.unreleased += chunk.len();
        self.kept_bytes += chunk.len();
        if self.kept_bytes <= self.max_kept_bytes {
            // A copy, since a chunk may hold on to a much larger buffer.
            self.kept.push(BytesMut::from(&chunk[..]).freeze());
            self.given += 1;
        } else if !self.gone {
            self.gone = true;
            self.kept.clear();
            self.given = 0;
            (self.on_gone)();
        }
        self.pending = chunk;
    }

    fn release(&mut self, bytes: usize) {
        self.unreleased -= bytes;
        // A caller that has gone needs no capacity; reading tells of that.
        let _ = self.rx.flow_control().release_capacity(bytes);
    }
}

/// Waits until some of `wanted` bytes may be sent; nothing if the stream is over.
pub(crate) async fn capacity(tx: &mut SendStream<Bytes>, wanted: usize) -> Option<usize> {
    tx.reserve_capacity(wanted);
    while tx.capacity() == 0 {
        poll_fn(|cx| tx.poll_capacity(cx)).await?.ok()?;
    }
    Some(tx.capacity())
}

/// Ends a stream whose data was sent.
fn end(tx: &mut SendStream<Bytes>, trailers: Option<HeaderMap>) -> Result<(), BodyError> {
    let ended = match trailers {
        Some(trailers) => tx.send_trailers(trailers),
        None => tx.send_data(Bytes::new(), true),
    };
    ended.map_err(|_| BodyError::Upstream)
}
