//! Queues of what is to be sent to each other entry.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation};
use indexmap::{IndexMap, IndexSet};

use crate::record::{RecordHash, UpstreamKey};

/// Initial time after which an unacknowledged record is sent again.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of times that a record is sent; afterwards only the comparison of
/// digests repairs its loss.
pub(crate) const MAX_SENDS: u32 = 8;

/// Number of sends after which the time between two of them doubles.
const SENDS_BEFORE_BACKOFF: u32 = 4;

/// Maximum number of records that await the acknowledgement of one entry. Further
/// ones are left to the comparison of digests, whose replies are rate-limited.
const MAX_UNACKED_RECORDS: usize = 16;

/// Maximum number of queued items of each other kind for one entry.
const MAX_QUEUED_ITEMS: usize = 64;

/// Maximum number of times that the interval between pulls is doubled.
const MAX_PULL_DOUBLINGS: u32 = 5;

/// Retransmission state of a record that was not acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retransmission {
    pub(crate) next_send: Instant,
    pub(crate) sends: u32,
}

impl Retransmission {
    /// Counts one send and schedules the next one.
    pub(crate) fn record_send(&mut self, now: Instant) {
        self.sends += 1;
        let doublings = self
            .sends
            .saturating_sub(SENDS_BEFORE_BACKOFF)
            .min(MAX_SENDS);
        self.next_send = now + RETRY_INTERVAL * (1 << doublings);
    }
}

/// Queue of what is to be sent to one other entry.
///
/// Messages are built when they are sent, so that they carry the current state and
/// none accumulate while the budget allows none.
#[derive(Debug)]
pub(crate) struct PeerOutbox {
    pub(crate) heartbeat: bool,
    pub(crate) unacked_records: IndexMap<UpstreamKey, Retransmission>,
    pub(crate) acks: IndexSet<RecordHash>,
    pub(crate) renewals: IndexMap<UpstreamKey, Incarnation>,
    pub(crate) suspects: IndexSet<UpstreamKey>,
    pub(crate) confirmed_suspects: IndexSet<UpstreamKey>,
    pub(crate) pull: bool,
    /// Buckets that the other entry pulled, with the key to continue from.
    pub(crate) slices: IndexMap<u8, UpstreamKey>,
    /// Digest of the other entry that the last pulls were sent for.
    pulled_digest: u64,
    consecutive_pulls: u32,
    next_pull: Instant,
}

impl PeerOutbox {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            heartbeat: false,
            unacked_records: IndexMap::new(),
            acks: IndexSet::new(),
            renewals: IndexMap::new(),
            suspects: IndexSet::new(),
            confirmed_suspects: IndexSet::new(),
            pull: false,
            slices: IndexMap::new(),
            pulled_digest: 0,
            consecutive_pulls: 0,
            next_pull: now,
        }
    }

    /// Queues a record, unless [`MAX_UNACKED_RECORDS`] are queued already.
    pub(crate) fn queue_record(&mut self, now: Instant, key: UpstreamKey) {
        if self.unacked_records.len() < MAX_UNACKED_RECORDS
            || self.unacked_records.contains_key(&key)
        {
            let retransmission = Retransmission {
                next_send: now,
                sends: 0,
            };
            self.unacked_records.insert(key, retransmission);
        }
    }

    pub(crate) fn add_ack(&mut self, hash: RecordHash) {
        if self.acks.len() < MAX_QUEUED_ITEMS {
            self.acks.insert(hash);
        }
    }

    pub(crate) fn add_renewal(&mut self, key: UpstreamKey, incarnation: Incarnation) {
        if self.renewals.len() < MAX_QUEUED_ITEMS {
            self.renewals.insert(key, incarnation);
        }
    }

    pub(crate) fn add_suspect(&mut self, key: UpstreamKey) {
        if self.suspects.len() < MAX_QUEUED_ITEMS {
            self.suspects.insert(key);
        }
    }

    pub(crate) fn add_confirmed_suspect(&mut self, key: UpstreamKey) {
        if self.confirmed_suspects.len() < MAX_QUEUED_ITEMS {
            self.confirmed_suspects.insert(key);
        }
    }

    /// Requests a pull if the digests differ, with exponential backoff while the other
    /// entry's digest stays the same: records that can't be merged are not requested at
    /// full rate.
    pub(crate) fn compare_digest(&mut self, now: Instant, local: u64, remote: u64) {
        if local == remote || self.pulled_digest != remote {
            self.consecutive_pulls = 0;
            self.next_pull = self.next_pull.min(now);
        }
        self.pulled_digest = remote;
        if local != remote && self.next_pull <= now {
            self.pull = true;
            self.next_pull = now + RETRY_INTERVAL * (1 << self.consecutive_pulls);
            self.consecutive_pulls = (self.consecutive_pulls + 1).min(MAX_PULL_DOUBLINGS);
        }
    }

    /// Clears everything that can't be delivered to a dead entry.
    pub(crate) fn clear(&mut self) {
        self.unacked_records.clear();
        self.acks.clear();
        self.renewals.clear();
        self.suspects.clear();
        self.confirmed_suspects.clear();
        self.slices.clear();
        self.pull = false;
    }
}

/// Queues of all other entries.
pub(crate) type Outbox = IndexMap<EntryId, PeerOutbox>;
