//! What is still to be told to each other entry.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation};
use indexmap::{IndexMap, IndexSet};

use crate::record::{RecordHash, UpstreamKey};

/// Time after which a record that was not acknowledged is sent again.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How often a record is sent before it is left to the digests.
pub(crate) const MAX_TRIES: u32 = 8;

/// Tries after which the time between two of them doubles.
const FAST_TRIES: u32 = 4;

/// The most records that wait for one entry's acknowledgement; more than that
/// are left to the digests, since their answers have a pace.
const MAX_DELTAS: usize = 16;

/// The most items of any other kind that wait for one entry.
const MAX_WAITING: usize = 64;

/// The longest wait between two pulls is this power of two of the shortest.
const MAX_PULL_DOUBLINGS: u32 = 5;

/// A record that is sent until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delta {
    pub(crate) next_try: Instant,
    pub(crate) tries: u32,
}

impl Delta {
    /// Notes that the record is sent, and when it is to be sent again.
    pub(crate) fn count_try(&mut self, now: Instant) {
        self.tries += 1;
        let doublings = self.tries.saturating_sub(FAST_TRIES).min(MAX_TRIES);
        self.next_try = now + RETRY_INTERVAL * (1 << doublings);
    }
}

/// What is still to be told to one other entry.
///
/// Messages are built when they are sent, so that they carry the present
/// state and nothing piles up while the budget is closed.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) heartbeat: bool,
    pub(crate) deltas: IndexMap<UpstreamKey, Delta>,
    pub(crate) acks: IndexSet<RecordHash>,
    pub(crate) renewals: IndexMap<UpstreamKey, Incarnation>,
    pub(crate) doubts: IndexSet<UpstreamKey>,
    pub(crate) silent: IndexSet<UpstreamKey>,
    pub(crate) pull: bool,
    /// Groups that the other asked for, and the key to go on from.
    pub(crate) slices: IndexMap<u8, UpstreamKey>,
    /// The digest that the last pulls were sent for.
    pulled_digest: u64,
    pulls: u32,
    next_pull: Instant,
}

impl Pending {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            heartbeat: false,
            deltas: IndexMap::new(),
            acks: IndexSet::new(),
            renewals: IndexMap::new(),
            doubts: IndexSet::new(),
            silent: IndexSet::new(),
            pull: false,
            slices: IndexMap::new(),
            pulled_digest: 0,
            pulls: 0,
            next_pull: now,
        }
    }

    /// Queues a record; beyond the bound it is left to the digests.
    pub(crate) fn add_delta(&mut self, now: Instant, key: UpstreamKey) {
        if self.deltas.len() < MAX_DELTAS || self.deltas.contains_key(&key) {
            let delta = Delta {
                next_try: now,
                tries: 0,
            };
            self.deltas.insert(key, delta);
        }
    }

    pub(crate) fn add_ack(&mut self, hash: RecordHash) {
        if self.acks.len() < MAX_WAITING {
            self.acks.insert(hash);
        }
    }

    pub(crate) fn add_renewal(&mut self, key: UpstreamKey, incarnation: Incarnation) {
        if self.renewals.len() < MAX_WAITING {
            self.renewals.insert(key, incarnation);
        }
    }

    pub(crate) fn add_doubt(&mut self, key: UpstreamKey) {
        if self.doubts.len() < MAX_WAITING {
            self.doubts.insert(key);
        }
    }

    pub(crate) fn add_silent(&mut self, key: UpstreamKey) {
        if self.silent.len() < MAX_WAITING {
            self.silent.insert(key);
        }
    }

    /// Asks for records when digests differ, ever less often while the other's
    /// digest stays the same: what can't be taken in isn't asked for at speed.
    pub(crate) fn compare(&mut self, now: Instant, ours: u64, theirs: u64) {
        if ours == theirs || self.pulled_digest != theirs {
            self.pulls = 0;
            self.next_pull = self.next_pull.min(now);
        }
        self.pulled_digest = theirs;
        if ours != theirs && self.next_pull <= now {
            self.pull = true;
            self.next_pull = now + RETRY_INTERVAL * (1 << self.pulls);
            self.pulls = (self.pulls + 1).min(MAX_PULL_DOUBLINGS);
        }
    }

    /// Lets go of what can't reach an entry that is dead.
    pub(crate) fn clear(&mut self) {
        self.deltas.clear();
        self.acks.clear();
        self.renewals.clear();
        self.doubts.clear();
        self.silent.clear();
        self.slices.clear();
        self.pull = false;
    }
}

/// What is still to be told to each other entry.
pub(crate) type Outbox = IndexMap<EntryId, Pending>;
