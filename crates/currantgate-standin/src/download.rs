//! A response that an upstream sends in chunks at an interval.

use std::time::{Duration, Instant};

/// Retransmission timeout of a chunk.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Segment of a download that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// The chunk with this number.
    Chunk(u32),
    /// A retransmission of the last chunk.
    Retransmit,
}

/// A response in chunks, each sent after the previous one was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Download {
    chunks: u32,
    chunk_ms: u64,
    sent: u32,
    awaiting_ack: bool,
    next_send: Instant,
}

impl Download {
    /// Parses a request such as `download 20 250`: 20 chunks, one every 250 ms.
    ///
    /// Returns `None` for any other request.
    pub(crate) fn parse(now: Instant, request: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(request).ok()?;
        let (chunks, chunk_ms) = text.strip_prefix("download ")?.split_once(' ')?;
        Some(Self {
            chunks: chunks.parse().ok()?,
            chunk_ms: chunk_ms.parse().ok()?,
            sent: 0,
            awaiting_ack: false,
            next_send: now,
        })
    }

    /// Records that the caller has acknowledged everything sent.
    pub(crate) fn acknowledge(&mut self, now: Instant) {
        if self.awaiting_ack {
            self.awaiting_ack = false;
            self.next_send = now + Duration::from_millis(self.chunk_ms);
        }
    }

    /// Returns the segment that is due, if any, and marks it as sent.
    pub(crate) fn poll(&mut self, now: Instant) -> Option<Due> {
        if self.next_send > now {
            return None;
        }
        if self.awaiting_ack {
            self.next_send = now + RETRANSMIT_TIMEOUT;
            return Some(Due::Retransmit);
        }
        if self.sent == self.chunks {
            return None;
        }
        let chunk = self.sent;
        self.sent += 1;
        self.awaiting_ack = true;
        self.next_send = now + RETRANSMIT_TIMEOUT;
        Some(Due::Chunk(chunk))
    }
}
