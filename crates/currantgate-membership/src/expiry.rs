//! Expiry of leases and adoption of orphaned records, once in each round.

use std::time::{Duration, Instant};

use currantgate_config::EntryId;

use crate::exchange::ADOPT_DELAY;
use crate::held_record::HeldRecord;
use crate::record::UpstreamKey;
use crate::{EntryStage, EntryView, LeaseStatus, Members, UpstreamState};

/// Minimum number of late upstreams at one entry for which their share of that
/// entry's own leases alone indicates a fault.
const MIN_LATE_FOR_FAULT: usize = 3;

/// Minimum number of silent upstreams in a failure domain that indicates a fault.
/// One alone is an ordinary failure; a service has no such minimum, because one
/// upstream can be all of a service.
const MIN_SILENT_IN_DOMAIN: usize = 2;

/// Last turn in which an orphaned record is adopted.
const MAX_ADOPTION_RANK: u32 = 8;

/// Maximum number of late upstreams in one heartbeat.
const MAX_LATE: usize = 32;

/// Numbers of silent upstreams in one service or failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct SilenceCounts {
    /// Upstreams of any owner that are leased or recently expired.
    recently_leased: usize,
    /// Those of them that are late or recently expired.
    silent: usize,
    /// Leased upstreams whose expiry this entry decides.
    own: usize,
    /// Those of them that are late.
    own_late: usize,
}

impl SilenceCounts {
    /// Returns whether more than half are silent at the same time. A fault of this
    /// entry or of the network explains that better than as many failed upstreams.
    fn indicates_fault(self) -> bool {
        let among_own = self.own_late >= MIN_LATE_FOR_FAULT && self.own_late * 2 > self.own;
        among_own || self.silent * 2 > self.recently_leased
    }
}

impl Members {
    pub(crate) fn process_leases(&mut self, now: Instant) {
        self.mark_orphans_of_dead(now);
        self.adopt_orphans(now);
        self.expire_leases(now);
        self.changes.upstreams |= self.table.remove_tombstones(now);
    }

    /// Compares the digest of each owner's set with the one that the owner sent.
    pub(crate) fn compare_digests(&mut self, now: Instant) {
        let ids: Vec<_> = self.outbox.keys().copied().collect();
        for id in ids {
            self.compare_digest(now, id);
        }
    }

    pub(crate) fn compare_digest(&mut self, now: Instant, id: EntryId) {
        if !self.liveness.is_reachable(now, id) {
            return;
        }
        let local = self.table.digest(id);
        let remote = self.liveness.digest(id);
        if let (Some(remote), Some(peer_outbox)) = (remote, self.outbox.get_mut(&id)) {
            peer_outbox.compare_digest(now, local, remote);
        }
    }

    /// Returns whether this entry's records match the set of another entry; true for
    /// an entry that is unreachable or sent no digest since its set changed.
    pub(crate) fn agrees_with(&self, now: Instant, id: EntryId) -> bool {
        let digest = self.liveness.digest(id);
        let is_reachable = self.liveness.is_reachable(now, id);
        !is_reachable || digest.is_none_or(|digest| digest == self.table.digest(id))
    }

    fn mark_orphans_of_dead(&mut self, now: Instant) {
        let is_orphan =
            |h: &HeldRecord| h.is_in_owner_digest() && !self.is_live(now, h.record.owner);
        for key in self.table.keys_where(is_orphan) {
            self.mark_orphaned(now, key);
        }
    }

    /// Takes ownership of orphaned records that are due, once this entry is synced.
    fn adopt_orphans(&mut self, now: Instant) {
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

    /// Returns how many live entries precede this one in adopting a record; entries
    /// with the same view compute the same order.
    ///
    /// Preceding entries may not hold the record, so each one adopts it in its turn.
    fn adoption_rank(&self, held: &HeldRecord) -> u32 {
        let entries = self.entries();
        let order = |e: &EntryView| {
            let is_other_domain = e.domain != held.record.upstream.domain;
            (e.stage != EntryStage::Serving, is_other_domain, e.id)
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
            if self.may_expire(now, held) {
                self.mark_expired(now, key);
            } else {
                self.request_confirmation(now, key);
            }
        }
    }

    fn is_due(&self, now: Instant, held: &HeldRecord) -> bool {
        self.decides_expiry(held)
            && held.record.status == LeaseStatus::Leased
            && held.lease.deadline <= now
    }

    /// Returns whether this entry decides about the expiry of a lease.
    fn decides_expiry(&self, held: &HeldRecord) -> bool {
        held.record.owner == self.settings.id || held.adopt_at.is_some()
    }

    /// Returns whether a due lease may expire: another entry confirmed the silence, the
    /// upstream drains, the grace period is over, or nothing indicates a fault.
    fn may_expire(&self, now: Instant, held: &HeldRecord) -> bool {
        let upstream = &held.record.upstream;
        if held.is_silence_confirmed || upstream.state == UpstreamState::Draining {
            return true;
        }
        if held.lease.deadline + self.grace_period(held) <= now {
            return true;
        }
        let service = self.count_silent(now, |h| h.record.upstream.service == upstream.service);
        let domain = self.count_silent(now, |h| h.record.upstream.domain == upstream.domain);
        let is_domain_faulty = domain.indicates_fault() && domain.silent >= MIN_SILENT_IN_DOMAIN;
        !service.indicates_fault() && !is_domain_faulty
    }

    fn grace_period(&self, held: &HeldRecord) -> Duration {
        let service = self.settings.service(held.record.upstream.service);
        service.map_or(Duration::ZERO, |s| Duration::from_millis(s.join.grace_ms))
    }

    /// Counts the silent upstreams among the records that match.
    fn count_silent(&self, now: Instant, matches: impl Fn(&HeldRecord) -> bool) -> SilenceCounts {
        let mut counts = SilenceCounts::default();
        for (_, held) in self.table.iter().filter(|(_, h)| matches(h)) {
            self.add_to_counts(now, held, &mut counts);
        }
        counts
    }

    fn add_to_counts(&self, now: Instant, held: &HeldRecord, counts: &mut SilenceCounts) {
        if held.record.upstream.state == UpstreamState::Draining {
            return;
        }
        match held.record.status {
            LeaseStatus::Gone => {}
            LeaseStatus::Expired => {
                let is_recent = held.recently_expired_until.is_some_and(|until| until > now);
                counts.recently_leased += usize::from(is_recent);
                counts.silent += usize::from(is_recent);
            }
            LeaseStatus::Leased => {
                let is_own = self.decides_expiry(held);
                let is_late = self.is_late(now, held);
                counts.recently_leased += 1;
                counts.silent += usize::from(is_late);
                counts.own += usize::from(is_own);
                counts.own_late += usize::from(is_own && is_late);
            }
        }
    }

    /// Returns the keys of this entry's late upstreams.
    pub(crate) fn late_keys(&self, now: Instant) -> Vec<UpstreamKey> {
        let late = self.table.iter().filter(|(_, held)| {
            held.record.owner == self.settings.id
                && held.record.status == LeaseStatus::Leased
                && held.record.upstream.state != UpstreamState::Draining
                && self.is_late(now, held)
        });
        late.map(|(key, _)| key).take(MAX_LATE).collect()
    }

    /// Records an owner's report that some of its upstreams are late.
    pub(crate) fn on_late_report(&mut self, now: Instant, from: EntryId, keys: &[UpstreamKey]) {
        for key in keys {
            let Some(held) = self.table.get(*key).filter(|h| h.record.owner == from) else {
                continue;
            };
            let until = now + self.lease_duration(&held.record) / 2;
            self.table
                .update(*key, |held| held.reported_late_until = Some(until));
        }
    }

    /// Returns whether an upstream has not renewed its lease for half of its duration.
    fn is_late(&self, now: Instant, held: &HeldRecord) -> bool {
        if !self.decides_expiry(held) {
            return held.reported_late_until.is_some_and(|until| until > now);
        }
        let left = held.lease.deadline.saturating_duration_since(now);
        left < self.lease_duration(&held.record) / 2
    }

    /// Marks a lease as expired. Only its owner replicates that; the expiry of an
    /// orphaned record is local to each entry until one adopts the record.
    fn mark_expired(&mut self, now: Instant, key: UpstreamKey) {
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

    /// Requests the entries of the upstream's domain to confirm that it is silent.
    fn request_confirmation(&mut self, now: Instant, key: UpstreamKey) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let domain = &held.record.upstream.domain;
        for peer in &self.settings.peers {
            if peer.domain == *domain
                && self.liveness.is_reachable(now, peer.id)
                && let Some(peer_outbox) = self.outbox.get_mut(&peer.id)
            {
                peer_outbox.add_suspect(key);
            }
        }
    }
}
