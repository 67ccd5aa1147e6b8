//! An answer that an upstream sends in chunks over a long time.

use std::time::{Duration, Instant};

/// How long a chunk waits for its acknowledgement before it is sent again.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(300);

/// What is due to be sent of a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// The chunk with this number.
    Chunk(u32),
    /// The chunk that was sent last, once more.
    Again,
}

/// An answer in chunks, one at a time; the caller only acknowledges them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Download {
    chunks: u32,
    chunk_ms: u64,
    sent: u32,
    waits: bool,
    next_send: Instant,
}

impl Download {
    /// Reads a request such as `download 20 250`: 20 chunks, one each 250 ms.
    pub(crate) fn parse(now: Instant, request: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(request).ok()?;
        let (chunks, chunk_ms) = text.strip_prefix("download ")?.split_once(' ')?;
        Some(Self {
            chunks: chunks.parse().ok()?,
            chunk_ms: chunk_ms.parse().ok()?,
            sent: 0,
            waits: false,
            next_send: now,
        })
    }

    /// Notes that the caller has all that was sent.
    pub(crate) fn acknowledge(&mut self, now: Instant) {
        if self.waits {
            self.waits = false;
            self.next_send = now + Duration::from_millis(self.chunk_ms);
        }
    }

    /// Returns what is due, and takes it as sent.
    pub(crate) fn poll(&mut self, now: Instant) -> Option<Due> {
        if self.next_send > now {
            return None;
        }
        if self.waits {
            self.next_send = now + RETRANSMIT_AFTER;
            return Some(Due::Again);
        }
        if self.sent == self.chunks {
            return None;
        }
        let chunk = self.sent;
        self.sent += 1;
        self.waits = true;
        self.next_send = now + RETRANSMIT_AFTER;
        Some(Due::Chunk(chunk))
    }
}
