//! The link of a simulated entry, with the buffer of its socket.

use std::time::Duration;

/// Bytes of packets that fit in the socket's buffer. By default it has 212,992 bytes, of
/// which a small packet uses 768, so that it holds 277 packets of 150 bytes.
const BUFFER_BYTES: f64 = 41_500.0;

/// A link with a buffer, which refuses packets while that is full.
pub(crate) struct Link {
    pub(crate) bytes_per_second: f64,
    /// When all packets in the buffer will have passed.
    empty_at: Duration,
    /// After a refused packet, tokio refuses all others until the system reports that half
    /// of the buffer is free.
    is_blocked: bool,
}

impl Link {
    pub(crate) fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            empty_at: Duration::ZERO,
            is_blocked: false,
        }
    }

    /// Sends a packet; returns when it has passed the link, or nothing if it is refused.
    pub(crate) fn send(&mut self, now: Duration, bytes: f64) -> Option<Duration> {
        let queued = self.empty_at.saturating_sub(now).as_secs_f64() * self.bytes_per_second;
        let is_still_blocked = self.is_blocked && queued > BUFFER_BYTES / 2.0;
        self.is_blocked = is_still_blocked || queued + bytes > BUFFER_BYTES;
        if self.is_blocked {
            return None;
        }
        self.empty_at = now + Duration::from_secs_f64((queued + bytes) / self.bytes_per_second);
        Some(self.empty_at)
    }
}
