//! Table of all upstreams that one entry holds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, UpstreamId};
use indexmap::IndexMap;

use crate::held_record::HeldRecord;
use crate::message::BUCKETS;
use crate::record::UpstreamKey;
use crate::{LeaseStatus, Presence, Upstream};

/// Time for which an ended incarnation is still listed as gone.
pub(crate) const TOMBSTONE_DURATION: Duration = Duration::from_secs(60);

/// Tombstone of an incarnation that a newer one has replaced.
#[derive(Debug)]
struct Replaced {
    upstream: Upstream,
    deadline: Instant,
}

/// Table of all upstreams that one entry holds, with the digests of each owner's set.
///
/// Each of its collections is bounded by the same limit.
#[derive(Debug)]
pub(crate) struct UpstreamTable {
    limit: usize,
    held: IndexMap<UpstreamKey, HeldRecord>,
    /// Keys of the held incarnations by their ids.
    keys: IndexMap<UpstreamId, UpstreamKey>,
    /// Upstreams that claim an address, in the order of arrival, without ended ones.
    address_claims: IndexMap<SocketAddr, Vec<UpstreamKey>>,
    digests: IndexMap<EntryId, [u64; BUCKETS]>,
    replaced: IndexMap<UpstreamId, Replaced>,
    /// Lowest incarnation that a removed upstream may be announced with.
    min_incarnations: IndexMap<UpstreamKey, Incarnation>,
}

impl UpstreamTable {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            held: IndexMap::new(),
            keys: IndexMap::new(),
            address_claims: IndexMap::new(),
            digests: IndexMap::new(),
            replaced: IndexMap::new(),
            min_incarnations: IndexMap::new(),
        }
    }

    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&HeldRecord> {
        self.held.get(&key)
    }

    /// Returns the record of the given incarnation.
    pub(crate) fn find_incarnation(&self, id: UpstreamId) -> Option<&HeldRecord> {
        self.held.get(self.keys.get(&id)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &HeldRecord)> {
        self.held.iter().map(|(key, held)| (*key, held))
    }

    /// Returns the keys of all records that match.
    pub(crate) fn keys_where(&self, matches: impl Fn(&HeldRecord) -> bool) -> Vec<UpstreamKey> {
        let found = self.iter().filter(|(_, held)| matches(held));
        found.map(|(key, _)| key).collect()
    }

    /// Returns the lowest incarnation that may be announced under `key`.
    pub(crate) fn min_incarnation(&self, key: UpstreamKey) -> Incarnation {
        self.min_incarnations.get(&key).copied().unwrap_or(0)
    }

    /// Returns the key of the leased upstream that holds `address`.
    ///
    /// Only one process can use an address: of two leased upstreams that claim it,
    /// the one that arrived first holds it until its lease expires.
    pub(crate) fn leased_at(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let keys = self.address_claims.get(&address)?;
        let is_leased = |key: &&UpstreamKey| self.status(**key) == Some(LeaseStatus::Leased);
        keys.iter().find(is_leased).copied()
    }

    /// Returns the expired upstreams at `address`.
    pub(crate) fn expired_at(&self, address: SocketAddr) -> Vec<UpstreamKey> {
        let keys = self.address_claims.get(&address).into_iter().flatten();
        let expired = keys.filter(|key| self.status(**key) == Some(LeaseStatus::Expired));
        expired.copied().collect()
    }

    /// Returns all upstreams, including recently ended ones, without those whose
    /// address another one holds.
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

    /// Returns the digests of the set of `owner`, one for each bucket.
    pub(crate) fn digests(&self, owner: EntryId) -> [u64; BUCKETS] {
        self.digests.get(&owner).copied().unwrap_or([0; BUCKETS])
    }

    /// Returns the digest of the whole set of `owner`.
    pub(crate) fn digest(&self, owner: EntryId) -> u64 {
        self.digests(owner).iter().fold(0, |all, one| all ^ one)
    }

    /// Returns whether another upstream can be added only by evicting one.
    pub(crate) fn is_full(&self) -> bool {
        self.held.len() >= self.limit
    }

    /// Evicts an upstream if the table is full; returns whether another one can be added.
    ///
    /// Ended upstreams are evicted first, then expired ones; leased ones never.
    pub(crate) fn evict_if_full(&mut self) -> bool {
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

    /// Stores a record and replaces the previous one of the upstream.
    pub(crate) fn put(&mut self, now: Instant, key: UpstreamKey, held: HeldRecord) {
        let upstream = &held.record.upstream;
        let (address, incarnation) = (upstream.address, upstream.incarnation);
        let is_claim = held.record.status != LeaseStatus::Gone;
        let id = upstream.id();
        self.toggle_in_digest(key, &held);
        if let Some(old) = self.held.insert(key, held) {
            self.toggle_in_digest(key, &old);
            self.keys.swap_remove(&old.record.upstream.id());
            let old_address = old.record.upstream.address;
            if old_address != address || !is_claim {
                self.remove_address_claim(old_address, key);
            }
            if old.record.upstream.incarnation != incarnation
                && old.record.status != LeaseStatus::Gone
            {
                self.add_replaced(now, old.record.upstream);
            }
        }
        self.keys.insert(id, key);
        if is_claim {
            self.add_address_claim(address, key);
        }
    }

    /// Changes the local state of a held record.
    ///
    /// The replicated record changes by [`UpstreamTable::put`] only.
    pub(crate) fn update(&mut self, key: UpstreamKey, change: impl FnOnce(&mut HeldRecord)) {
        let Some(held) = self.held.get_mut(&key) else {
            return;
        };
        let before = held.clone();
        change(held);
        let after = held.clone();
        self.toggle_in_digest(key, &before);
        self.toggle_in_digest(key, &after);
    }

    /// Removes an upstream and keeps the lowest incarnation that it may return with.
    pub(crate) fn remove(&mut self, key: UpstreamKey) {
        let Some(held) = self.held.shift_remove(&key) else {
            return;
        };
        self.toggle_in_digest(key, &held);
        self.keys.swap_remove(&held.record.upstream.id());
        self.remove_address_claim(held.record.upstream.address, key);
        let ended = u64::from(held.record.status == LeaseStatus::Gone);
        let min_incarnation = held.record.upstream.incarnation.saturating_add(ended);
        evict_oldest_if_full(&mut self.min_incarnations, self.limit);
        self.min_incarnations.insert(key, min_incarnation);
    }

    /// Removes tombstones that are due; returns whether there were any.
    pub(crate) fn remove_tombstones(&mut self, now: Instant) -> bool {
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

    /// Returns the presence of a held upstream, or `None` while another one holds
    /// its address.
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

    /// Returns the upstream with the highest incarnation at `address`.
    fn newest_at(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let start = |key: &&UpstreamKey| {
            let upstream = &self.held.get(*key)?.record.upstream;
            Some((upstream.incarnation, upstream.id()))
        };
        let keys = self.address_claims.get(&address)?;
        keys.iter().max_by_key(start).copied()
    }

    fn add_address_claim(&mut self, address: SocketAddr, key: UpstreamKey) {
        let keys = self.address_claims.entry(address).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    fn remove_address_claim(&mut self, address: SocketAddr, key: UpstreamKey) {
        let Some(keys) = self.address_claims.get_mut(&address) else {
            return;
        };
        keys.retain(|k| *k != key);
        if keys.is_empty() {
            self.address_claims.swap_remove(&address);
        }
    }

    fn add_replaced(&mut self, now: Instant, upstream: Upstream) {
        evict_oldest_if_full(&mut self.replaced, self.limit);
        let deadline = now + TOMBSTONE_DURATION;
        let id = upstream.id();
        self.replaced.insert(id, Replaced { upstream, deadline });
    }

    /// Adds a record to its owner's digest, or removes it from there.
    fn toggle_in_digest(&mut self, key: UpstreamKey, held: &HeldRecord) {
        if held.is_in_owner_digest() {
            let digests = self.digests.entry(held.record.owner).or_default();
            digests[bucket_of(key)] ^= held.hash;
        }
    }
}

/// Returns the bucket in which the digest includes an upstream.
pub(crate) fn bucket_of(key: UpstreamKey) -> usize {
    key as usize % BUCKETS
}

/// Removes the oldest item of a full collection.
fn evict_oldest_if_full<K, V>(items: &mut IndexMap<K, V>, limit: usize) {
    if items.len() >= limit && !items.is_empty() {
        items.shift_remove_index(0);
    }
}
