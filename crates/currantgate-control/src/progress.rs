//! The leader's view of one follower's log.

use std::sync::Arc;
use std::time::Instant;

use crate::Index;

/// A snapshot that is being sent to a follower.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) last_index: Index,
    pub(crate) bytes: Arc<[u8]>,
    pub(crate) digest: [u8; 32],
    pub(crate) offset: u64,
}

/// The leader's view of one follower's log.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last entry that the follower has synced and that matches the
    /// leader's.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    /// Whether the entry before `next` is not confirmed to match yet.
    pub(crate) probing: bool,
    /// The send time of the newest acknowledged message, on the leader's clock.
    pub(crate) acked_sent: Option<Instant>,
    /// Whether the follower has replied since the last heartbeat.
    pub(crate) replied: bool,
    /// The snapshot that the follower needs before further entries.
    pub(crate) transfer: Option<Transfer>,
}

impl Progress {
    pub(crate) fn new(last_index: Index) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            probing: true,
            acked_sent: None,
            replied: true,
            transfer: None,
        }
    }
}
