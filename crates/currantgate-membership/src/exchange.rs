//! Handling of records, digests and confirmations from other entries.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation};

use crate::checks::check_upstream;
use crate::held_record::HeldRecord;
use crate::message::BUCKETS;
use crate::record::UpstreamKey;
use crate::table::{TOMBSTONE_DURATION, bucket_of};
use crate::{Lease, LeaseStatus, Members, Record};

/// Delay before a record that its owner no longer lists is adopted, and between the
/// adoption turns of the entries: a newer record of the owner can arrive meanwhile.
pub(crate) const ADOPT_DELAY: Duration = Duration::from_secs(1);

/// Outcome of merging a record from another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MergeOutcome {
    /// The record is now held, or was already.
    Held,
    /// This entry holds a newer record.
    HeldIsNewer,
    /// The record was rejected.
    Rejected,
}

impl Members {
    pub(crate) fn on_records(&mut self, now: Instant, from: EntryId, records: Vec<Record>) {
        for record in records {
            let hash = record.hash();
            self.apply_record(now, from, record);
            if let Some(peer_outbox) = self.outbox.get_mut(&from) {
                peer_outbox.add_ack(hash);
            }
        }
    }

    pub(crate) fn on_ack(&mut self, from: EntryId, hashes: &[u64]) {
        let Some(peer_outbox) = self.outbox.get_mut(&from) else {
            return;
        };
        let table = &self.table;
        peer_outbox.unacked_records.retain(|key, _| {
            let held = table.get(*key);
            held.is_some_and(|held| !hashes.contains(&held.hash))
        });
    }

    pub(crate) fn on_pull(&mut self, from: EntryId, digests: &[u32; BUCKETS]) {
        let local = fold_digests(&self.table.digests(self.settings.id));
        let Some(peer_outbox) = self.outbox.get_mut(&from) else {
            return;
        };
        for (bucket, (local, remote)) in local.iter().zip(digests).enumerate() {
            if local != remote {
                peer_outbox.slices.entry(bucket as u8).or_insert(0);
            }
        }
    }

    pub(crate) fn on_slice(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket: u8,
        (first, last): (UpstreamKey, UpstreamKey),
        records: Vec<Record>,
    ) {
        let listed: Vec<_> = records.iter().map(Record::key).collect();
        for record in records {
            self.apply_record(now, from, record);
        }
        let missing = self.table.iter().filter(|(key, held)| {
            held.record.owner == from
                && held.is_in_owner_digest()
                && bucket_of(*key) == usize::from(bucket)
                && (first..=last).contains(key)
                && !listed.contains(key)
        });
        let missing: Vec<_> = missing.map(|(key, _)| key).collect();
        for key in missing {
            self.mark_orphaned(now, key);
        }
    }

    pub(crate) fn on_renewals(&mut self, now: Instant, renewals: &[(UpstreamKey, Incarnation)]) {
        for (key, incarnation) in renewals {
            self.apply_renewal(now, *key, *incarnation);
        }
    }

    pub(crate) fn on_suspects(&mut self, now: Instant, from: EntryId, keys: &[UpstreamKey]) {
        let gets_announcements = self
            .announcements_until
            .is_some_and(|deadline| deadline > now);
        for key in keys {
            let Some(held) = self.table.get(*key) else {
                continue;
            };
            if held.is_announced(now) && held.record.owner == from {
                self.take_ownership(now, *key, LeaseStatus::Leased);
            } else if gets_announcements && let Some(peer_outbox) = self.outbox.get_mut(&from) {
                peer_outbox.add_confirmed_suspect(*key);
            }
        }
    }

    pub(crate) fn on_confirmed_suspects(&mut self, keys: &[UpstreamKey]) {
        for key in keys {
            self.table
                .update(*key, |held| held.is_silence_confirmed = true);
        }
    }

    /// Marks a record as orphaned and restarts its lease, so that it can be adopted.
    pub(crate) fn mark_orphaned(&mut self, now: Instant, key: UpstreamKey) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let deadline = now + self.lease_duration(&held.record);
        self.liveness.clear_digest(held.record.owner);
        self.table.update(key, |held| {
            held.adopt_at = Some(now + ADOPT_DELAY);
            held.lease.deadline = deadline;
            held.is_silence_confirmed = false;
        });
    }

    fn apply_renewal(&mut self, now: Instant, key: UpstreamKey, incarnation: Incarnation) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let record = &held.record;
        let is_own = record.owner == self.settings.id;
        if !is_own
            || record.upstream.incarnation != incarnation
            || record.status == LeaseStatus::Gone
        {
            return;
        }
        let is_expired = record.status == LeaseStatus::Expired;
        let deadline = now + self.lease_duration(record);
        self.table.update(key, |held| {
            held.lease.deadline = deadline;
            held.is_silence_confirmed = false;
        });
        if is_expired {
            self.take_ownership(now, key, LeaseStatus::Leased);
        }
    }

    fn apply_record(&mut self, now: Instant, from: EntryId, record: Record) {
        let key = record.key();
        match self.merge(now, from, key, record) {
            MergeOutcome::HeldIsNewer => {
                if let Some(peer_outbox) = self.outbox.get_mut(&from) {
                    peer_outbox.queue_record(now, key);
                }
            }
            MergeOutcome::Held | MergeOutcome::Rejected => {}
        }
    }

    fn merge(
        &mut self,
        now: Instant,
        from: EntryId,
        key: UpstreamKey,
        record: Record,
    ) -> MergeOutcome {
        if !self.is_acceptable(&record) {
            return MergeOutcome::Rejected;
        }
        let Some(old) = self.table.get(key) else {
            return self.insert_record(now, key, record);
        };
        let same_upstream = old.record.upstream.name == record.upstream.name
            && old.record.upstream.service == record.upstream.service;
        if !same_upstream {
            return MergeOutcome::Rejected;
        }
        if old.record.rank() > record.rank() {
            return MergeOutcome::HeldIsNewer;
        }
        if old.hash == record.hash() {
            if record.owner == from {
                self.table.update(key, |held| held.adopt_at = None);
            }
            return MergeOutcome::Held;
        }
        if self.contradicts_owner(now, old, &record) {
            return MergeOutcome::Rejected;
        }
        let old = old.clone();
        self.replace_record(now, key, &old, record);
        MergeOutcome::Held
    }

    fn is_acceptable(&self, record: &Record) -> bool {
        let Some(service) = self.settings.service(record.upstream.service) else {
            return false;
        };
        self.settings.domain_of(record.owner).is_some()
            && check_upstream(&self.settings, service, &record.upstream).is_ok()
    }

    /// Returns whether a record declares an upstream expired although its known owner
    /// is alive and holds its lease.
    ///
    /// An entry that was partitioned from all others gets no renewals and considers
    /// every upstream expired. The owner replies with a newer record, and until then
    /// its record has precedence.
    fn contradicts_owner(&self, now: Instant, old: &HeldRecord, record: &Record) -> bool {
        record.status == LeaseStatus::Expired
            && old.record.status == LeaseStatus::Leased
            && old.record.upstream.incarnation == record.upstream.incarnation
            && old.record.owner != record.owner
            && old.record.owner != self.settings.id
            && old.adopt_at.is_none()
            && self.liveness.is_alive(now, old.record.owner)
    }

    /// Stores the record of an upstream that is not held.
    ///
    /// An incarnation whose tombstone was already removed is stored and sent back as gone.
    fn insert_record(&mut self, now: Instant, key: UpstreamKey, record: Record) -> MergeOutcome {
        let evicts = self.table.is_full();
        if !self.table.evict_if_full() {
            return MergeOutcome::Rejected;
        }
        let has_ended = record.upstream.incarnation < self.table.min_incarnation(key);
        let is_visible_change = evicts || !has_ended && record.status != LeaseStatus::Gone;
        let mut held = self.new_held_record(now, record);
        if has_ended && held.record.status != LeaseStatus::Gone {
            held.record.status = LeaseStatus::Gone;
            held.record.sequence = held.record.sequence.saturating_add(1);
            held.record.owner = self.settings.id;
            held.hash = held.record.hash();
            held.lease.deadline = now + TOMBSTONE_DURATION;
            self.store(now, key, held);
            return MergeOutcome::HeldIsNewer;
        }
        self.store(now, key, held);
        self.changes.upstreams |= is_visible_change;
        MergeOutcome::Held
    }

    /// Replaces a record with a newer one. If the newer one contradicts a valid
    /// announcement to this entry, this entry takes ownership and restores the lease.
    fn replace_record(&mut self, now: Instant, key: UpstreamKey, old: &HeldRecord, record: Record) {
        let is_same_incarnation = old.record.upstream.incarnation == record.upstream.incarnation;
        let is_visible_change =
            old.record.upstream != record.upstream || old.record.status != record.status;
        let is_own = record.owner == self.settings.id;
        let status = record.status;
        let mut held = self.new_held_record(now, record);
        if is_same_incarnation {
            held.warmup_until = old.warmup_until;
            held.announced_until = old.announced_until;
            held.load = old.load;
        }
        let has_valid_announcement = held.is_announced(now) && status != LeaseStatus::Gone;
        self.store(now, key, held);
        self.changes.upstreams |= is_visible_change;
        if has_valid_announcement && (status == LeaseStatus::Expired || is_own) {
            self.take_ownership_as(now, key, old.record.upstream.clone(), LeaseStatus::Leased);
        }
    }

    fn new_held_record(&self, now: Instant, record: Record) -> HeldRecord {
        let warmup_until = now + Duration::from_millis(u64::from(record.warmup_left_ms));
        let time = match record.status {
            LeaseStatus::Gone => TOMBSTONE_DURATION,
            _ => self.lease_duration(&record),
        };
        let lease = Lease {
            deadline: now + time,
        };
        let recently_expired_until = self.recently_expired_until(now, &record);
        HeldRecord {
            recently_expired_until,
            ..HeldRecord::new(record, warmup_until, lease)
        }
    }
}

/// Folds digests to the 32 bits that a pull carries.
pub(crate) fn fold_digests(digests: &[u64; BUCKETS]) -> [u32; BUCKETS] {
    digests.map(|digest| (digest ^ digest >> 32) as u32)
}
