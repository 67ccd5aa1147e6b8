//! Announcements of upstreams and changes to records by this entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, Service};

use crate::checks::check_upstream;
use crate::held_record::HeldRecord;
use crate::record::{UpstreamKey, upstream_key};
use crate::table::TOMBSTONE_DURATION;
use crate::{
    AnnounceError, Announcement, EntryStage, Lease, LeaseStatus, Members, Record, Upstream,
};

impl Members {
    /// Handles an announcement of the upstream `name` of `service`, and renews its lease.
    ///
    /// # Errors
    ///
    /// Returns the reason if the announcement is rejected; nothing has changed then.
    pub fn announce(
        &mut self,
        now: Instant,
        service: &str,
        name: &str,
        announcement: Announcement,
    ) -> Result<Lease, AnnounceError> {
        self.detect_pause(now);
        if self.stage == EntryStage::Leaving {
            return Err(AnnounceError::EntryLeaving);
        }
        let service = self.find_service(service)?.clone();
        let load = announcement.load;
        let upstream = Upstream {
            name: name.into(),
            incarnation: announcement.incarnation,
            service: service.id(),
            address: announcement.address,
            domain: announcement.domain,
            slots: announcement.slots,
            state: announcement.state,
        };
        check_upstream(&self.settings, &service, &upstream)?;
        let key = upstream_key(service.id(), name);
        self.check_incarnation(key, &upstream)?;
        self.check_address_and_capacity(key, &upstream)?;
        let deadline = now + Duration::from_millis(service.join.lease_ms);
        self.announcements_until = Some(deadline);
        let address = upstream.address;
        self.apply_announcement(now, key, upstream, &service);
        self.end_expired_at(now, address);
        self.table.update(key, |held| {
            held.lease = Lease { deadline };
            held.announced_until = Some(deadline);
            held.is_silence_confirmed = false;
            held.load = load;
        });
        Ok(Lease { deadline })
    }

    /// Ends the incarnation of an upstream that has drained and stops.
    ///
    /// # Errors
    ///
    /// Returns an error if the incarnation is unknown. It is no error if it has
    /// ended already.
    pub fn withdraw(
        &mut self,
        now: Instant,
        service: &str,
        name: &str,
        incarnation: Incarnation,
    ) -> Result<(), AnnounceError> {
        self.detect_pause(now);
        let key = upstream_key(self.find_service(service)?.id(), name);
        let Some(held) = self.table.get(key) else {
            return Err(AnnounceError::UnknownUpstream(name.into()));
        };
        let known = held.record.upstream.incarnation;
        if known != incarnation {
            return Err(AnnounceError::OldIncarnation {
                given: incarnation,
                known,
            });
        }
        if held.record.status != LeaseStatus::Gone {
            self.take_ownership(now, key, LeaseStatus::Gone);
        }
        Ok(())
    }

    /// Makes this entry the owner of a held record, with the given status.
    pub(crate) fn take_ownership(&mut self, now: Instant, key: UpstreamKey, status: LeaseStatus) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let upstream = held.record.upstream.clone();
        self.take_ownership_as(now, key, upstream, status);
    }

    /// Makes this entry the owner of a held record, with changed content.
    pub(crate) fn take_ownership_as(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        upstream: Upstream,
        status: LeaseStatus,
    ) {
        let Some(old) = self.table.get(key).cloned() else {
            return;
        };
        let is_visible_change = old.record.upstream != upstream || old.record.status != status;
        let record = Record {
            upstream,
            sequence: old.record.sequence.saturating_add(1),
            owner: self.settings.id,
            status,
            warmup_left_ms: 0,
        };
        let mut held = HeldRecord {
            hash: record.hash(),
            adopt_at: None,
            recently_expired_until: self.recently_expired_until(now, &record),
            record,
            ..old
        };
        if status == LeaseStatus::Gone {
            held.lease.deadline = now + TOMBSTONE_DURATION;
        }
        self.store(now, key, held);
        self.changes.upstreams |= is_visible_change;
        self.queue_for_live_entries(now, key);
    }

    /// Returns until when an expired record counts as recently expired.
    pub(crate) fn recently_expired_until(&self, now: Instant, record: &Record) -> Option<Instant> {
        (record.status == LeaseStatus::Expired).then(|| now + self.lease_duration(record))
    }

    /// Returns the lease duration of the record's service.
    pub(crate) fn lease_duration(&self, record: &Record) -> Duration {
        let service = self.settings.service(record.upstream.service);
        service.map_or(Duration::ZERO, |s| Duration::from_millis(s.join.lease_ms))
    }

    /// Restarts all valid leases after this entry was paused: deadlines that passed
    /// meanwhile are no evidence, and upstreams have to announce themselves again.
    pub(crate) fn restart_leases(&mut self, now: Instant) {
        let leased = self
            .table
            .keys_where(|h| h.record.status == LeaseStatus::Leased);
        for key in leased {
            let Some(held) = self.table.get(key) else {
                continue;
            };
            let deadline = now + self.lease_duration(&held.record);
            self.table.update(key, |held| {
                held.lease.deadline = deadline;
                held.announced_until = None;
                held.is_silence_confirmed = false;
            });
        }
        self.announcements_until = None;
    }

    fn find_service(&self, name: &str) -> Result<&Service, AnnounceError> {
        let found = self.settings.services.iter().find(|s| &*s.name == name);
        found.ok_or_else(|| AnnounceError::UnknownService(name.into()))
    }

    fn check_incarnation(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
    ) -> Result<(), AnnounceError> {
        let given = upstream.incarnation;
        let Some(held) = self.table.get(key) else {
            let known = self.table.min_incarnation(key);
            return match given < known {
                true => Err(AnnounceError::OldIncarnation { given, known }),
                false => Ok(()),
            };
        };
        let known = held.record.upstream.incarnation;
        if given < known {
            return Err(AnnounceError::OldIncarnation { given, known });
        }
        if given == known && held.record.status == LeaseStatus::Gone {
            return Err(AnnounceError::IncarnationEnded(given));
        }
        let address = held.record.upstream.address;
        if given == known && address != upstream.address {
            return Err(AnnounceError::AddressChanged(address));
        }
        Ok(())
    }

    fn check_address_and_capacity(
        &mut self,
        key: UpstreamKey,
        upstream: &Upstream,
    ) -> Result<(), AnnounceError> {
        let holder = self.table.leased_at(upstream.address);
        if holder.is_some_and(|holder| holder != key) {
            return Err(AnnounceError::AddressInUse(upstream.address));
        }
        if self.table.get(key).is_none() && !self.table.evict_if_full() {
            return Err(AnnounceError::TooManyUpstreams(self.settings.max_upstreams));
        }
        Ok(())
    }

    /// Stores an announcement, or forwards the renewal to the owner of the lease.
    fn apply_announcement(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        upstream: Upstream,
        service: &Service,
    ) {
        let warmup_until = now + Duration::from_millis(service.join.warmup_ms);
        let Some(held) = self.table.get(key) else {
            self.insert_incarnation(now, key, upstream, 1, warmup_until);
            return;
        };
        if held.record.upstream.incarnation != upstream.incarnation {
            let sequence = held.record.sequence.saturating_add(1);
            self.insert_incarnation(now, key, upstream, sequence, warmup_until);
            return;
        }
        let is_same = held.record.upstream == upstream && held.record.status == LeaseStatus::Leased;
        let owner = held.record.owner;
        if !is_same || !self.stays_with_owner(now, owner, &upstream) {
            self.take_ownership_as(now, key, upstream, LeaseStatus::Leased);
        } else if let Some(peer_outbox) = self.outbox.get_mut(&owner) {
            peer_outbox.add_renewal(key, upstream.incarnation);
        }
    }

    /// Ends the expired upstreams at an address that another process has announced:
    /// it could not use the address if they were still running.
    ///
    /// Only the entry that accepted the announcement has proof of that.
    fn end_expired_at(&mut self, now: Instant, address: SocketAddr) {
        for key in self.table.expired_at(address) {
            self.take_ownership(now, key, LeaseStatus::Gone);
        }
    }

    /// Stores the first record of an incarnation.
    fn insert_incarnation(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        upstream: Upstream,
        sequence: u64,
        warmup_until: Instant,
    ) {
        let record = Record {
            upstream,
            sequence,
            owner: self.settings.id,
            status: LeaseStatus::Leased,
            warmup_left_ms: 0,
        };
        let lease = Lease { deadline: now };
        self.table
            .put(now, key, HeldRecord::new(record, warmup_until, lease));
        self.changes.upstreams = true;
        self.queue_for_live_entries(now, key);
    }

    /// Returns whether a lease that was renewed at this entry stays with its owner.
    ///
    /// Upstreams may announce themselves to the entries of their domain in turn, so
    /// the lease does not move with each renewal. It moves if the owner can't be
    /// reached, or if it is in another domain while this entry is in the upstream's.
    fn stays_with_owner(&self, now: Instant, owner: EntryId, upstream: &Upstream) -> bool {
        if owner == self.settings.id {
            return true;
        }
        let is_substitute = self.settings.domain_of(owner) != Some(&upstream.domain)
            && self.settings.domain == upstream.domain;
        !is_substitute && self.liveness.is_reachable(now, owner)
    }
}
