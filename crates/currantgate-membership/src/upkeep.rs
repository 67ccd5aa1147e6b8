//! What each round does with leases that are due.

use std::time::{Duration, Instant};

use currantgate_config::EntryId;

use crate::exchange::ADOPT_DELAY;
use crate::held::HeldRecord;
use crate::record::UpstreamKey;
use crate::{EntryStage, EntryView, LeaseStatus, Members, UpstreamState};

/// Upstreams that have to be late at one entry before their share of that
/// entry's own leases alone is reason for distrust.
const DISTRUST_MIN: usize = 3;

/// Upstreams of a failure domain that have to be silent before it is distrusted;
/// one alone is an ordinary death, while one alone can be all of a service.
const DOMAIN_DISTRUST_MIN: usize = 2;

/// The last turn in which a record without an owner is adopted.
const MAX_ADOPTION_RANK: u32 = 8;

/// The most late upstreams that one heartbeat names.
const MAX_LATE: usize = 32;

/// Counts in one service or failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    /// Upstreams that held a lease lately, at any owner.
    all: usize,
    /// Those of them that are late or have lately expired.
    silent: usize,
    /// Upstreams whose lease this entry decides about.
    ours: usize,
    /// Those of them that are late.
    ours_late: usize,
}

impl Silence {
    /// Tells whether more than half went silent at once, which a fault of this
    /// entry or of the network explains better than as many deaths.
    fn is_distrusted(self) -> bool {
        let of_ours = self.ours_late >= DISTRUST_MIN && self.ours_late * 2 > self.ours;
        of_ours || self.silent * 2 > self.all
    }
}

impl Members {
    pub(crate) fn look_through_leases(&mut self, now: Instant) {
        self.orphan_of_dead(now);
        self.adopt(now);
        self.expire_leases(now);
        self.changes.upstreams |= self.table.remove_tombstones(now);
    }

    /// Compares this entry's view of each set with its owner's digest.
    pub(crate) fn compare_digests(&mut self, now: Instant) {
        let ids: Vec<_> = self.outbox.keys().copied().collect();
        for id in ids {
            self.compare_digest(now, id);
        }
    }

    pub(crate) fn compare_digest(&mut self, now: Instant, id: EntryId) {
        if !self.liveness.is_heard(now, id) {
            return;
        }
        let ours = self.table.digest(id);
        let theirs = self.liveness.digest(id);
        if let (Some(theirs), Some(pending)) = (theirs, self.outbox.get_mut(&id)) {
            pending.compare(now, ours, theirs);
        }
    }

    /// Tells whether nothing is to be learnt from an entry.
    pub(crate) fn agrees(&self, now: Instant, id: EntryId) -> bool {
        let digest = self.liveness.digest(id);
        let is_heard = self.liveness.is_heard(now, id);
        !is_heard || digest.is_none_or(|digest| digest == self.table.digest(id))
    }

    fn orphan_of_dead(&mut self, now: Instant) {
        let is_orphan =
            |h: &HeldRecord| h.is_in_owner_digest() && !self.is_live(now, h.record.owner);
        for key in self.table.keys_where(is_orphan) {
            self.mark_orphaned(now, key);
        }
    }

    /// Takes over records without an owner, once this entry is up to date.
    fn adopt(&mut self, now: Instant) {
        if !self.is_synced(now) {
            return;
        }
        let is_due = |h: &HeldRecord| {
            let adopt_at = h.adopt_at.filter(|_| h.record.status != LeaseStatus::Gone);
            adopt_at.is_some_and(|at| at + ADOPT_DELAY * self.adoption_rank(h) <= now)
        };
        for key in self.table.keys_where(is_due) {
            let Some(held) = self.table.get(key) else {
                continue;
            };
            let status = held.record.status;
            self.take_ownership(now, key, status);
        }
    }

    /// Returns how many live entries come before this one when a record is to
    /// be adopted; all entries with the same view count alike.
    ///
    /// Those before it may not know the record, so that each waits its turn.
    fn adoption_rank(&self, held: &HeldRecord) -> u32 {
        let entries = self.entries();
        let order = |e: &EntryView| {
            let is_far = e.domain != held.record.upstream.domain;
            (e.stage != EntryStage::Serving, is_far, e.id)
        };
        let Some(own) = entries.iter().find(|e| e.id == self.settings.id) else {
            return MAX_ADOPTION_RANK;
        };
        let others = entries.iter().filter(|e| e.id != held.record.owner);
        let before = others.filter(|e| order(e) < order(own)).count();
        u32::try_from(before).map_or(MAX_ADOPTION_RANK, |rank| rank.min(MAX_ADOPTION_RANK))
    }

    fn expire_leases(&mut self, now: Instant) {
        for key in self.table.keys_where(|h| self.is_due(now, h)) {
            let Some(held) = self.table.get(key) else {
                continue;
            };
            if self.is_trusted(now, held) {
                self.claim_expired(now, key);
            } else {
                self.ask_others(now, key);
            }
        }
    }

    fn is_due(&self, now: Instant, held: &HeldRecord) -> bool {
        self.decides(held)
            && held.record.status == LeaseStatus::Leased
            && held.lease.deadline <= now
    }

    /// Tells whether this entry decides about a lease.
    fn decides(&self, held: &HeldRecord) -> bool {
        held.record.owner == self.settings.id || held.adopt_at.is_some()
    }

    /// Tells whether silence alone ends a lease that is due.
    fn is_trusted(&self, now: Instant, held: &HeldRecord) -> bool {
        let upstream = &held.record.upstream;
        if held.is_silence_confirmed || upstream.state == UpstreamState::Draining {
            return true;
        }
        if held.lease.deadline + self.grace_time(held) <= now {
            return true;
        }
        let service = self.silence(now, |h| h.record.upstream.service == upstream.service);
        let domain = self.silence(now, |h| h.record.upstream.domain == upstream.domain);
        let is_domain_silent = domain.is_distrusted() && domain.silent >= DOMAIN_DISTRUST_MIN;
        !service.is_distrusted() && !is_domain_silent
    }

    fn grace_time(&self, held: &HeldRecord) -> Duration {
        let service = self.settings.service(held.record.upstream.service);
        service.map_or(Duration::ZERO, |s| Duration::from_millis(s.join.grace_ms))
    }

    /// Counts who is silent among the records for which `wanted` holds.
    fn silence(&self, now: Instant, wanted: impl Fn(&HeldRecord) -> bool) -> Silence {
        let mut silence = Silence::default();
        for (_, held) in self.table.iter().filter(|(_, h)| wanted(h)) {
            self.count_silence(now, held, &mut silence);
        }
        silence
    }

    fn count_silence(&self, now: Instant, held: &HeldRecord, silence: &mut Silence) {
        if held.record.upstream.state == UpstreamState::Draining {
            return;
        }
        match held.record.status {
            LeaseStatus::Gone => {}
            LeaseStatus::Expired => {
                let is_recent = held.recently_expired_until.is_some_and(|until| until > now);
                silence.all += usize::from(is_recent);
                silence.silent += usize::from(is_recent);
            }
            LeaseStatus::Leased => {
                let is_ours = self.decides(held);
                let is_late = self.is_late(now, held);
                silence.all += 1;
                silence.silent += usize::from(is_late);
                silence.ours += usize::from(is_ours);
                silence.ours_late += usize::from(is_ours && is_late);
            }
        }
    }

    /// Returns the upstreams of this entry that are late.
    pub(crate) fn late_keys(&self, now: Instant) -> Vec<UpstreamKey> {
        let ours = self.table.iter().filter(|(_, held)| {
            held.record.owner == self.settings.id
                && held.record.status == LeaseStatus::Leased
                && held.record.upstream.state != UpstreamState::Draining
                && self.is_late(now, held)
        });
        ours.map(|(key, _)| key).take(MAX_LATE).collect()
    }

    /// Takes an owner's word that some of its upstreams are late.
    pub(crate) fn note_late(&mut self, now: Instant, from: EntryId, keys: &[UpstreamKey]) {
        for key in keys {
            let Some(held) = self.table.get(*key).filter(|h| h.record.owner == from) else {
                continue;
            };
            let until = now + self.lease_duration(&held.record) / 2;
            self.table
                .update(*key, |held| held.reported_late_until = Some(until));
        }
    }

    /// Tells whether an upstream has not been heard for half of its lease.
    fn is_late(&self, now: Instant, held: &HeldRecord) -> bool {
        if !self.decides(held) {
            return held.reported_late_until.is_some_and(|until| until > now);
        }
        let left = held.lease.deadline.saturating_duration_since(now);
        left < self.lease_duration(&held.record) / 2
    }

    /// Only an owner's word spreads; until someone adopts an upstream, each
    /// entry notes for itself that its lease has run out.
    fn claim_expired(&mut self, now: Instant, key: UpstreamKey) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        if held.record.owner == self.settings.id {
            self.take_ownership(now, key, LeaseStatus::Expired);
            return;
        }
        let mut held = held.clone();
        held.record.status = LeaseStatus::Expired;
        held.recently_expired_until = self.recently_expired_until(now, &held.record);
        held.hash = held.record.hash();
        self.store(now, key, held);
        self.changes.upstreams = true;
    }

    /// Asks the entries of the upstream's domain whether they hear it.
    fn ask_others(&mut self, now: Instant, key: UpstreamKey) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let domain = &held.record.upstream.domain;
        for peer in &self.settings.peers {
            if peer.domain == *domain
                && self.liveness.is_heard(now, peer.id)
                && let Some(pending) = self.outbox.get_mut(&peer.id)
            {
                pending.add_doubt(key);
            }
        }
    }
}
