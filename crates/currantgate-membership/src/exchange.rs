//! Records that come from other entries.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation};

use crate::checks::check_upstream;
use crate::held::HeldRecord;
use crate::message::BUCKETS;
use crate::record::UpstreamKey;
use crate::table::{TOMBSTONE_DURATION, bucket_of};
use crate::{Lease, LeaseStatus, Members, Record};

/// Time that an owner's change of mind has to arrive in before a record that
/// it no longer lists is adopted by another entry.
pub(crate) const ADOPT_DELAY: Duration = Duration::from_secs(1);

/// What became of a record from another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taken {
    /// It is what this entry holds.
    Held,
    /// This entry holds a newer one.
    Older,
    /// It can't be taken in.
    Refused,
}

impl Members {
    pub(crate) fn take_records(&mut self, now: Instant, from: EntryId, records: Vec<Record>) {
        for record in records {
            let hash = record.hash();
            self.take_record(now, from, record);
            if let Some(pending) = self.outbox.get_mut(&from) {
                pending.add_ack(hash);
            }
        }
    }

    pub(crate) fn take_ack(&mut self, from: EntryId, hashes: &[u64]) {
        let Some(pending) = self.outbox.get_mut(&from) else {
            return;
        };
        let table = &self.table;
        pending.deltas.retain(|key, _| {
            let held = table.get(*key);
            held.is_some_and(|held| !hashes.contains(&held.hash))
        });
    }

    pub(crate) fn take_pull(&mut self, from: EntryId, digests: &[u32; BUCKETS]) {
        let ours = fold(&self.table.digests(self.settings.id));
        let Some(pending) = self.outbox.get_mut(&from) else {
            return;
        };
        for (bucket, (ours, theirs)) in ours.iter().zip(digests).enumerate() {
            if ours != theirs {
                pending.slices.entry(bucket as u8).or_insert(0);
            }
        }
    }

    pub(crate) fn take_slice(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket: u8,
        (first, last): (UpstreamKey, UpstreamKey),
        records: Vec<Record>,
    ) {
        let listed: Vec<_> = records.iter().map(Record::key).collect();
        for record in records {
            self.take_record(now, from, record);
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
            self.orphan(now, key);
        }
    }

    pub(crate) fn take_renewals(&mut self, now: Instant, renewals: &[(UpstreamKey, Incarnation)]) {
        for (key, incarnation) in renewals {
            self.take_renewal(now, *key, *incarnation);
        }
    }

    pub(crate) fn take_doubt(&mut self, now: Instant, from: EntryId, keys: &[UpstreamKey]) {
        let gets_announcements = self
            .announcements_until
            .is_some_and(|deadline| deadline > now);
        for key in keys {
            let Some(held) = self.table.get(*key) else {
                continue;
            };
            if held.is_announced(now) && held.record.owner == from {
                self.take_ownership(now, *key, LeaseStatus::Leased);
            } else if gets_announcements && let Some(pending) = self.outbox.get_mut(&from) {
                pending.add_silent(*key);
            }
        }
    }

    pub(crate) fn take_silent(&mut self, keys: &[UpstreamKey]) {
        for key in keys {
            self.table
                .update(*key, |held| held.is_silence_confirmed = true);
        }
    }

    /// Marks a record that its owner no longer vouches for.
    pub(crate) fn orphan(&mut self, now: Instant, key: UpstreamKey) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let deadline = now + self.lease_duration(&held.record);
        self.liveness.forget_digest(held.record.owner);
        self.table.update(key, |held| {
            held.adopt_at = Some(now + ADOPT_DELAY);
            held.lease.deadline = deadline;
            held.is_silence_confirmed = false;
        });
    }

    fn take_renewal(&mut self, now: Instant, key: UpstreamKey, incarnation: Incarnation) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let record = &held.record;
        let is_ours = record.owner == self.settings.id;
        if !is_ours
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

    fn take_record(&mut self, now: Instant, from: EntryId, record: Record) {
        let key = record.key();
        match self.merge(now, from, key, record) {
            Taken::Older => {
                if let Some(pending) = self.outbox.get_mut(&from) {
                    pending.add_delta(now, key);
                }
            }
            Taken::Held | Taken::Refused => {}
        }
    }

    fn merge(&mut self, now: Instant, from: EntryId, key: UpstreamKey, record: Record) -> Taken {
        if !self.is_acceptable(&record) {
            return Taken::Refused;
        }
        let Some(old) = self.table.get(key) else {
            return self.take_unknown(now, key, record);
        };
        let same_upstream = old.record.upstream.name == record.upstream.name
            && old.record.upstream.service == record.upstream.service;
        if !same_upstream {
            return Taken::Refused;
        }
        if old.record.rank() > record.rank() {
            return Taken::Older;
        }
        if old.hash == record.hash() {
            if record.owner == from {
                self.table.update(key, |held| held.adopt_at = None);
            }
            return Taken::Held;
        }
        if self.contradicts_owner(now, old, &record) {
            return Taken::Refused;
        }
        let old = old.clone();
        self.replace(now, key, &old, record);
        Taken::Held
    }

    fn is_acceptable(&self, record: &Record) -> bool {
        let Some(service) = self.settings.service(record.upstream.service) else {
            return false;
        };
        self.settings.domain_of(record.owner).is_some()
            && check_upstream(&self.settings, service, &record.upstream).is_ok()
    }

    /// Tells whether an entry declares an upstream expired while the owner that
    /// is known here is alive and vouches for it.
    ///
    /// An entry that was cut off from all others misses every upstream; the
    /// owner answers it, and until then the owner is believed.
    fn contradicts_owner(&self, now: Instant, old: &HeldRecord, record: &Record) -> bool {
        record.status == LeaseStatus::Expired
            && old.record.status == LeaseStatus::Leased
            && old.record.upstream.incarnation == record.upstream.incarnation
            && old.record.owner != record.owner
            && old.record.owner != self.settings.id
            && old.adopt_at.is_none()
            && self.liveness.is_alive(now, old.record.owner)
    }

    /// Takes in a record of an upstream that is not held.
    ///
    /// One that ended so long ago that it was forgotten is answered as gone.
    fn take_unknown(&mut self, now: Instant, key: UpstreamKey, record: Record) -> Taken {
        let evicts = self.table.is_full();
        if !self.table.evict_if_full() {
            return Taken::Refused;
        }
        let has_ended = record.upstream.incarnation < self.table.min_incarnation(key);
        let is_visible_change = evicts || !has_ended && record.status != LeaseStatus::Gone;
        let mut held = self.hold(now, record);
        if has_ended && held.record.status != LeaseStatus::Gone {
            held.record.status = LeaseStatus::Gone;
            held.record.sequence = held.record.sequence.saturating_add(1);
            held.record.owner = self.settings.id;
            held.hash = held.record.hash();
            held.lease.deadline = now + TOMBSTONE_DURATION;
            self.store(now, key, held);
            return Taken::Older;
        }
        self.store(now, key, held);
        self.changes.upstreams |= is_visible_change;
        Taken::Held
    }

    /// Puts a newer record in the place of an older one, unless the upstream
    /// itself has told this entry better.
    fn replace(&mut self, now: Instant, key: UpstreamKey, old: &HeldRecord, record: Record) {
        let is_same_start = old.record.upstream.incarnation == record.upstream.incarnation;
        let is_visible_change =
            old.record.upstream != record.upstream || old.record.status != record.status;
        let is_ours = record.owner == self.settings.id;
        let status = record.status;
        let mut held = self.hold(now, record);
        if is_same_start {
            held.warmup_until = old.warmup_until;
            held.announced_until = old.announced_until;
            held.load = old.load;
        }
        let knows_better = held.is_announced(now) && status != LeaseStatus::Gone;
        self.store(now, key, held);
        self.changes.upstreams |= is_visible_change;
        if knows_better && (status == LeaseStatus::Expired || is_ours) {
            self.take_ownership_as(now, key, old.record.upstream.clone(), LeaseStatus::Leased);
        }
    }

    fn hold(&self, now: Instant, record: Record) -> HeldRecord {
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

/// Shortens digests to what a pull carries.
pub(crate) fn fold(digests: &[u64; BUCKETS]) -> [u32; BUCKETS] {
    digests.map(|digest| (digest ^ digest >> 32) as u32)
}
