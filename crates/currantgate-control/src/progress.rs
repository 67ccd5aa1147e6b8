//! What a leader knows of one follower.

use std::sync::Arc;
use std::time::Instant;

use crate::Index;

/// A snapshot on its way to a follower.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) last_index: Index,
    pub(crate) bytes: Arc<[u8]>,
    pub(crate) digest: [u8; 32],
    pub(crate) offset: u64,
}

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last entry known to be alike and synced.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    /// Whether `next` is still a guess.
    pub(crate) probing: bool,
    /// When the newest acknowledged message was sent, on the leader's clock.
    pub(crate) acked_sent: Option<Instant>,
    /// Whether anything was heard since the last heartbeat.
    pub(crate) heard: bool,
    /// The snapshot that the follower needs first.
    pub(crate) transfer: Option<Transfer>,
}

impl Progress {
    pub(crate) fn new(last_index: Index) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            probing: true,
            acked_sent: None,
            heard: true,
            transfer: None,
        }
    }
}
