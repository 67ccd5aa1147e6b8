//! All upstreams that one entry knows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, UpstreamId};
use indexmap::IndexMap;

use crate::held::HeldRecord;
use crate::message::BUCKETS;
use crate::record::UpstreamKey;
use crate::{LeaseStatus, Presence, Upstream};

/// Time for which an ended incarnation is still shown as gone.
pub(crate) const TOMBSTONE_TIME: Duration = Duration::from_secs(60);

/// An incarnation that a newer one has replaced.
#[derive(Debug)]
struct Replaced {
    upstream: Upstream,
    deadline: Instant,
}

/// All upstreams that one entry knows, with the digests of each owner's set.
///
/// Its size is bounded: each collection holds at most the given number.
#[derive(Debug)]
pub(crate) struct Table {
    limit: usize,
    held: IndexMap<UpstreamKey, HeldRecord>,
    /// The keys of the incarnations that are held.
    keys: IndexMap<UpstreamId, UpstreamKey>,
    /// Who claims an address, in the order of arrival; ended upstreams don't.
    claims: IndexMap<SocketAddr, Vec<UpstreamKey>>,
    digests: IndexMap<EntryId, [u64; BUCKETS]>,
    replaced: IndexMap<UpstreamId, Replaced>,
    /// The lowest incarnation that a forgotten upstream may come back with.
    floors: IndexMap<UpstreamKey, Incarnation>,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            held: IndexMap::new(),
            keys: IndexMap::new(),
            claims: IndexMap::new(),
            digests: IndexMap::new(),
            replaced: IndexMap::new(),
            floors: IndexMap::new(),
        }
    }

    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&HeldRecord> {
        self.held.get(&key)
    }

    /// Returns what is held of the given incarnation.
    pub(crate) fn find(&self, id: UpstreamId) -> Option<&HeldRecord> {
        self.held.get(self.keys.get(&id)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &HeldRecord)> {
        self.held.iter().map(|(key, held)| (*key, held))
    }

    /// Returns the keys of all records for which `wanted` holds.
    pub(crate) fn keys_where(&self, wanted: impl Fn(&HeldRecord) -> bool) -> Vec<UpstreamKey> {
        let found = self.iter().filter(|(_, held)| wanted(held));
        found.map(|(key, _)| key).collect()
    }

    /// Returns the lowest incarnation that may be announced under `key`.
    pub(crate) fn floor(&self, key: UpstreamKey) -> Incarnation {
        self.floors.get(&key).copied().unwrap_or(0)
    }

    /// Returns the key of the leased upstream that holds `address`.
    ///
    /// An address has room for one process: of two leased upstreams that claim
    /// it, the one that was known first holds it for as long as its lease does.
    pub(crate) fn leased_at(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let keys = self.claims.get(&address)?;
        let is_leased = |key: &&UpstreamKey| self.status(**key) == Some(LeaseStatus::Leased);
        keys.iter().find(is_leased).copied()
    }

    /// Returns the expired upstreams at `address`.
    pub(crate) fn expired_at(&self, address: SocketAddr) -> Vec<UpstreamKey> {
        let keys = self.claims.get(&address).into_iter().flatten();
        let expired = keys.filter(|key| self.status(**key) == Some(LeaseStatus::Expired));
        expired.copied().collect()
    }

    /// Returns all upstreams, those included that have ended of late, but not
    /// those whose address another one holds.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = (&Upstream, Presence)> {
        let held = self.iter().filter_map(|(key, held)| {
            let presence = self.presence(key, held)?;
            Some((&held.record.upstream, presence))
        });
        let replaced = self
            .replaced
            .values()
            .map(|r| (&r.upstream, Presence::Gone));
        held.chain(replaced)
    }

    /// Returns the digests of the records that `owner` vouches for.
    pub(crate) fn digests(&self, owner: EntryId) -> [u64; BUCKETS] {
        self.digests.get(&owner).copied().unwrap_or([0; BUCKETS])
    }

    /// Returns one digest over all that `owner` vouches for.
    pub(crate) fn digest(&self, owner: EntryId) -> u64 {
        self.digests(owner).iter().fold(0, |all, one| all ^ one)
    }

    /// Tells whether one more upstream fits only in the place of another one.
    pub(crate) fn is_full(&self) -> bool {
        self.held.len() >= self.limit
    }

    /// Makes room for one more upstream; tells whether there is some.
    ///
    /// Upstreams that have ended go first, then those whose lease ran out.
    pub(crate) fn make_room(&mut self) -> bool {
        if !self.is_full() {
            return true;
        }
        let first_with = |status| self.iter().find(|(_, h)| h.record.status == status);
        let found = first_with(LeaseStatus::Gone).or_else(|| first_with(LeaseStatus::Expired));
        let Some(key) = found.map(|(key, _)| key) else {
            return false;
        };
        self.remove(key);
        true
    }

    /// Stores a record in place of the one that its upstream had.
    pub(crate) fn put(&mut self, now: Instant, key: UpstreamKey, held: HeldRecord) {
        let upstream = &held.record.upstream;
        let (address, incarnation) = (upstream.address, upstream.incarnation);
        let is_claim = held.record.status != LeaseStatus::Gone;
        let id = upstream.id();
        self.count(key, &held);
        if let Some(old) = self.held.insert(key, held) {
            self.count(key, &old);
            self.keys.swap_remove(&old.record.upstream.id());
            let old_address = old.record.upstream.address;
            if old_address != address || !is_claim {
                self.release(old_address, key);
            }
            if old.record.upstream.incarnation != incarnation
                && old.record.status != LeaseStatus::Gone
            {
                self.keep_replaced(now, old.record.upstream);
            }
        }
        self.keys.insert(id, key);
        if is_claim {
            self.claim(address, key);
        }
    }

    /// Changes what only this entry knows about a held upstream.
    ///
    /// The record itself changes by [`Table::put`] only.
    pub(crate) fn update(&mut self, key: UpstreamKey, change: impl FnOnce(&mut HeldRecord)) {
        let Some(held) = self.held.get_mut(&key) else {
            return;
        };
        let before = held.clone();
        change(held);
        let after = held.clone();
        self.count(key, &before);
        self.count(key, &after);
    }

    /// Forgets an upstream, but not which of its incarnations have ended.
    pub(crate) fn remove(&mut self, key: UpstreamKey) {
        let Some(held) = self.held.shift_remove(&key) else {
            return;
        };
        self.count(key, &held);
        self.keys.swap_remove(&held.record.upstream.id());
        self.release(held.record.upstream.address, key);
        let ended = u64::from(held.record.status == LeaseStatus::Gone);
        let floor = held.record.upstream.incarnation.saturating_add(ended);
        bound(&mut self.floors, self.limit);
        self.floors.insert(key, floor);
    }

    /// Forgets the ended incarnations that are due; tells whether any was.
    pub(crate) fn forget(&mut self, now: Instant) -> bool {
        let due = |h: &HeldRecord| h.record.status == LeaseStatus::Gone && h.lease.deadline <= now;
        let keys = self.keys_where(due);
        let before = self.replaced.len();
        self.replaced.retain(|_, r| r.deadline > now);
        for key in &keys {
            self.remove(*key);
        }
        !keys.is_empty() || self.replaced.len() != before
    }

    fn status(&self, key: UpstreamKey) -> Option<LeaseStatus> {
        Some(self.held.get(&key)?.record.status)
    }

    /// Tells how sure the presence of a held upstream is, or nothing while
    /// another one holds its address.
    fn presence(&self, key: UpstreamKey, held: &HeldRecord) -> Option<Presence> {
        let presence = match held.record.status {
            LeaseStatus::Gone => return Some(Presence::Gone),
            LeaseStatus::Expired => Presence::Expired,
            LeaseStatus::Leased => Presence::Leased,
        };
        let address = held.record.upstream.address;
        let holder = self.leased_at(address).or_else(|| self.newest_at(address));
        (holder == Some(key)).then_some(presence)
    }

    /// Returns the upstream at `address` that started last, as far as
    /// incarnations tell.
    fn newest_at(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let start = |key: &&UpstreamKey| {
            let upstream = &self.held.get(*key)?.record.upstream;
            Some((upstream.incarnation, upstream.id()))
        };
        let keys = self.claims.get(&address)?;
        keys.iter().max_by_key(start).copied()
    }

    fn claim(&mut self, address: SocketAddr, key: UpstreamKey) {
        let keys = self.claims.entry(address).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    fn release(&mut self, address: SocketAddr, key: UpstreamKey) {
        let Some(keys) = self.claims.get_mut(&address) else {
            return;
        };
        keys.retain(|k| *k != key);
        if keys.is_empty() {
            self.claims.swap_remove(&address);
        }
    }

    fn keep_replaced(&mut self, now: Instant, upstream: Upstream) {
        bound(&mut self.replaced, self.limit);
        let deadline = now + TOMBSTONE_TIME;
        let id = upstream.id();
        self.replaced.insert(id, Replaced { upstream, deadline });
    }

    /// Adds a record to its owner's digest, or takes it out again.
    fn count(&mut self, key: UpstreamKey, held: &HeldRecord) {
        if held.is_in_owner_digest() {
            let digests = self.digests.entry(held.record.owner).or_default();
            digests[bucket_of(key)] ^= held.hash;
        }
    }
}

/// Returns the group that an upstream is compared in.
pub(crate) fn bucket_of(key: UpstreamKey) -> usize {
    key as usize % BUCKETS
}

/// Drops the oldest item of a full collection.
fn bound<K, V>(items: &mut IndexMap<K, V>, limit: usize) {
    if items.len() >= limit && !items.is_empty() {
        items.shift_remove_index(0);
    }
}
