//! Compares tables with other entries by digests, and fetches the buckets that
//! differ.

use std::hash::Hasher as _;
use std::time::{Duration, Instant};

use currantgate_config::EntryId;
use currantgate_membership::EntryStage;
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

use crate::bucket::Bucket;
use crate::router::Router;
use crate::{BucketIndex, ChunkVersions, Message, Output};

/// Number of buckets whose versions share one digest.
pub const BUCKETS_PER_CHUNK: usize = 32;

/// Time after the start during which an entry waits for more peers to appear.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Time after the start during which an entry without live peers waits for one.
/// Starting alone would create a second, empty table.
const ALONE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of digests while peers have not confirmed the table.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of queued messages. Digests, versions and load reports beyond
/// it are dropped, as if the network had lost them.
pub(crate) const MAX_QUEUED_OUTPUTS: usize = 128;

/// Mean interval at which a synchronized entry sends digests, to one peer at a
/// time, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 5_000;

/// State of an entry's synchronization with the tables of its peers.
#[derive(Debug)]
pub(crate) struct SyncState {
    done: bool,
    done_at: Instant,
    started: Instant,
    rng: ChaCha8Rng,
    digest_at: Instant,
    /// Peers and table indices for which the peer's table is confirmed not to
    /// be newer.
    confirmed: IndexSet<(EntryId, usize)>,
    next_peer: usize,
    /// Whether any bucket has been fetched.
    has_pulled: bool,
}

impl SyncState {
    pub(crate) fn new(now: Instant, seed: u64) -> Self {
        Self {
            done: false,
            done_at: now,
            started: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            digest_at: now,
            confirmed: IndexSet::new(),
            next_peer: 0,
            has_pulled: false,
        }
    }

    /// Records that a bucket is being fetched.
    pub(crate) fn note_pull(&mut self) {
        self.has_pulled = true;
    }

    /// Returns the instant at which the entry became synchronized.
    pub(crate) fn done_at(&self) -> Instant {
        self.done_at
    }

    /// Returns whether the entry is synchronized and may decide about flows.
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }
}

impl Router {
    /// Returns whether this entry is synchronized and may decide about flows.
    pub fn is_synced(&self) -> bool {
        self.sync.done
    }

    /// Removes the state of peers that have left, and sends digests to those
    /// that have appeared.
    pub(crate) fn update_sync_peers(
        &mut self,
        now: Instant,
        before: &IndexMap<EntryId, EntryStage>,
    ) {
        let entries = &self.entries;
        self.sync
            .confirmed
            .retain(|(peer, _)| entries.contains_key(peer));
        self.pulls
            .retain(|_, pull| entries.contains_key(&pull.donor));
        if self.sync.done {
            let live = self.live_peers();
            for peer in live.into_iter().filter(|p| !before.contains_key(p)) {
                self.start_sync_with(peer);
            }
        }
        self.check_sync(now);
    }

    /// Completes the synchronization once no peer has a newer table, and sends
    /// digests that are due.
    pub(crate) fn check_sync(&mut self, now: Instant) {
        let others = self.live_peers();
        let is_confirmed = |peer: &EntryId| {
            let mut tables = 0..self.tables.len();
            tables.all(|t| self.sync.confirmed.contains(&(*peer, t)))
        };
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) =
            others.iter().copied().partition(is_confirmed);
        if !self.sync.done {
            let wait = match others.is_empty() {
                true if self.has_configured_peers() => ALONE_TIMEOUT,
                true => Duration::ZERO,
                false => DISCOVERY_TIME,
            };
            self.sync.done = now >= self.sync.started + wait
                && self.pulls.is_empty()
                && confirmed.len() == others.len();
            if self.sync.done {
                self.sync.done_at = now;
                self.choose_replicas(now);
                self.plan_at = now;
            }
        }
        if now < self.sync.digest_at || others.is_empty() {
            return;
        }
        self.sync.next_peer += 1;
        if self.sync.done {
            self.send_digests(others[self.sync.next_peer % others.len()]);
            let mean = DIGEST_INTERVAL_MS;
            let wait = self.sync.rng.random_range(mean / 2..mean * 3 / 2);
            self.sync.digest_at = now + Duration::from_millis(wait);
        } else {
            self.sync.digest_at = now + CONFIRM_INTERVAL;
            self.request_confirmation(&confirmed, &unconfirmed);
        }
    }

    /// Sends digests to a serving peer that has appeared. A joining peer sends
    /// its own first.
    pub(crate) fn start_sync_with(&mut self, peer: EntryId) {
        if self.entries.get(&peer) == Some(&EntryStage::Serving) {
            self.send_digests(peer);
        }
    }

    /// Sends digests to one peer until one has confirmed the table, then to all
    /// that have not. Sends none while buckets are being fetched.
    pub(crate) fn request_confirmation(&mut self, confirmed: &[EntryId], unconfirmed: &[EntryId]) {
        if !self.pulls.is_empty() || unconfirmed.is_empty() {
            return;
        }
        if confirmed.is_empty() && self.sync.has_pulled {
            self.send_digests(unconfirmed[0]);
        } else if confirmed.is_empty() {
            self.send_digests(unconfirmed[self.sync.next_peer % unconfirmed.len()]);
        } else {
            for peer in unconfirmed {
                self.send_digests(*peer);
            }
        }
    }

    /// Returns whether the settings contain any other entry.
    pub(crate) fn has_configured_peers(&self) -> bool {
        let me = self.settings.id;
        self.settings.domains.keys().any(|id| *id != me)
    }

    /// Queues the digests of all tables for entry `to`.
    pub(crate) fn send_digests(&mut self, to: EntryId) {
        for table in &self.tables {
            let message = Message::Digest {
                service: table.id,
                chunks: table
                    .buckets
                    .chunks(BUCKETS_PER_CHUNK)
                    .map(digest)
                    .collect(),
            };
            if self.outputs.len() < MAX_QUEUED_OUTPUTS {
                self.outputs.push_back(Output::Send { to, message });
            }
        }
    }

    /// Replies to a digest with the versions of the chunks that differ.
    pub(crate) fn handle_digest(&mut self, _now: Instant, from: EntryId, t: usize, theirs: &[u32]) {
        let table = &self.tables[t];
        let chunks = table
            .buckets
            .chunks(BUCKETS_PER_CHUNK)
            .zip(theirs)
            .enumerate();
        let differing = chunks.filter(|(_, (own, their))| digest(own) != **their);
        let chunks: Vec<_> = differing.map(|(i, (own, _))| versions(i, own)).collect();
        self.send_versions(from, t, true, chunks);
    }

    /// Queues the versions of `chunks` for entry `to`, split into messages.
    pub(crate) fn send_versions(
        &mut self,
        to: EntryId,
        t: usize,
        answers_digest: bool,
        chunks: Vec<ChunkVersions>,
    ) {
        let service = self.tables[t].id;
        let receiver_is_live = self.entries.contains_key(&to);
        let mut rest = chunks;
        loop {
            let tail = rest.split_off(rest.len().min(CHUNKS_PER_MESSAGE));
            let message = Message::Versions {
                service,
                // Only the last part may confirm that nothing else differs.
                answers_digest: answers_digest && tail.is_empty(),
                receiver_is_live,
                chunks: rest,
            };
            if self.outputs.len() < MAX_QUEUED_OUTPUTS {
                self.outputs.push_back(Output::Send { to, message });
            }
            rest = tail;
            if rest.is_empty() {
                break;
            }
        }
    }

    /// Fetches the buckets that are newer at the sender, and sends it the
    /// versions of those that are older there.
    pub(crate) fn handle_versions(
        &mut self,
        now: Instant,
        from: EntryId,
        t: usize,
        (answers_digest, receiver_is_live): (bool, bool),
        chunks: &[ChunkVersions],
    ) {
        let mut ahead = false;
        let mut behind = Vec::new();
        for chunk in chunks {
            let first = usize::from(chunk.chunk) * BUCKETS_PER_CHUNK;
            for (i, theirs) in chunk.versions.iter().enumerate() {
                let Some(own) = self.tables[t].buckets.get(first + i).map(Bucket::rank) else {
                    continue;
                };
                if *theirs > own {
                    ahead = true;
                    self.pull(now, from, (t, (first + i) as BucketIndex));
                } else if *theirs < own && !behind.contains(&chunk.chunk) {
                    behind.push(chunk.chunk);
                }
            }
        }
        if answers_digest && receiver_is_live && !ahead {
            self.sync.confirmed.insert((from, t));
        }
        if answers_digest && !behind.is_empty() {
            let buckets = &self.tables[t].buckets;
            let chunk = |i: u16| {
                let own = buckets.chunks(BUCKETS_PER_CHUNK).nth(usize::from(i));
                own.map(|own| versions(usize::from(i), own))
            };
            let chunks = behind.into_iter().filter_map(chunk).collect();
            self.send_versions(from, t, false, chunks);
        }
    }
}

/// Number of chunks whose versions fit in one message.
const CHUNKS_PER_MESSAGE: usize = 4;

fn digest(buckets: &[Bucket]) -> u32 {
    let mut hasher = SipHasher13::new();
    for bucket in buckets {
        let (version, is_stable) = bucket.rank();
        hasher.write_u32(version.counter);
        hasher.write_u16(version.coordinator);
        hasher.write_u8(u8::from(is_stable));
    }
    // The low half is as well mixed as the whole.
    hasher.finish() as u32
}

fn versions(chunk: usize, buckets: &[Bucket]) -> ChunkVersions {
    ChunkVersions {
        chunk: chunk as u16,
        versions: buckets.iter().map(Bucket::rank).collect(),
    }
}
