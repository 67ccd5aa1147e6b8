//! Announcements, and changes to records that this entry makes itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, Service};

use crate::checks::check_upstream;
use crate::held::HeldRecord;
use crate::record::{UpstreamKey, upstream_key};
use crate::table::TOMBSTONE_DURATION;
use crate::{
    AnnounceError, Announcement, EntryStage, Lease, LeaseStatus, Members, Record, Upstream,
};

impl Members {
    /// Takes an announcement that an upstream of `service` called `name` sent.
    ///
    /// # Errors
    ///
    /// Returns why the announcement is not accepted; nothing has changed then.
    pub fn announce(
        &mut self,
        now: Instant,
        service: &str,
        name: &str,
        announcement: Announcement,
    ) -> Result<Lease, AnnounceError> {
        self.notice_gap(now);
        if self.stage == EntryStage::Leaving {
            return Err(AnnounceError::EntryLeaving);
        }
        let service = self.service_named(service)?.clone();
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
        self.check_claim(key, &upstream)?;
        let deadline = now + Duration::from_millis(service.join.lease_ms);
        self.hearing_until = Some(deadline);
        let address = upstream.address;
        self.renew(now, key, upstream, &service);
        self.end_expired_at(now, address);
        self.table.update(key, |held| {
            held.lease = Lease { deadline };
            held.announced_until = Some(deadline);
            held.is_silence_confirmed = false;
            held.load = load;
        });
        Ok(Lease { deadline })
    }

    /// Ends an incarnation whose upstream has drained and stops.
    ///
    /// # Errors
    ///
    /// Returns an error when no such incarnation is known; one that has ended
    /// already is no error.
    pub fn withdraw(
        &mut self,
        now: Instant,
        service: &str,
        name: &str,
        incarnation: Incarnation,
    ) -> Result<(), AnnounceError> {
        self.notice_gap(now);
        let key = upstream_key(self.service_named(service)?.id(), name);
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
            self.claim(now, key, LeaseStatus::Gone);
        }
        Ok(())
    }

    /// Makes this entry the owner of a record that it holds.
    pub(crate) fn claim(&mut self, now: Instant, key: UpstreamKey, status: LeaseStatus) {
        let Some(held) = self.table.get(key) else {
            return;
        };
        let upstream = held.record.upstream.clone();
        self.claim_as(now, key, upstream, status);
    }

    /// Makes this entry the owner of a held record with changed content.
    pub(crate) fn claim_as(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        upstream: Upstream,
        status: LeaseStatus,
    ) {
        let Some(old) = self.table.get(key).cloned() else {
            return;
        };
        let is_shown = old.record.upstream != upstream || old.record.status != status;
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
        self.changes.upstreams |= is_shown;
        self.spread(now, key);
    }

    /// Returns until when the expiry of a record counts as recent.
    pub(crate) fn recently_expired_until(&self, now: Instant, record: &Record) -> Option<Instant> {
        (record.status == LeaseStatus::Expired).then(|| now + self.lease_time(record))
    }

    /// Returns how long an announcement of the record's upstream holds.
    pub(crate) fn lease_time(&self, record: &Record) -> Duration {
        let service = self.settings.service(record.upstream.service);
        service.map_or(Duration::ZERO, |s| Duration::from_millis(s.join.lease_ms))
    }

    /// After this entry has stood still, its clock alone says nothing about
    /// its upstreams: their leases start anew, and they have to prove themselves.
    pub(crate) fn extend_leases(&mut self, now: Instant) {
        let leased = self
            .table
            .keys_where(|h| h.record.status == LeaseStatus::Leased);
        for key in leased {
            let Some(held) = self.table.get(key) else {
                continue;
            };
            let deadline = now + self.lease_time(&held.record);
            self.table.update(key, |held| {
                held.lease.deadline = deadline;
                held.announced_until = None;
                held.is_silence_confirmed = false;
            });
        }
        self.hearing_until = None;
    }

    fn service_named(&self, name: &str) -> Result<&Service, AnnounceError> {
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

    fn check_claim(&mut self, key: UpstreamKey, upstream: &Upstream) -> Result<(), AnnounceError> {
        let holder = self.table.leased_at(upstream.address);
        if holder.is_some_and(|holder| holder != key) {
            return Err(AnnounceError::AddressInUse(upstream.address));
        }
        if self.table.get(key).is_none() && !self.table.evict_if_full() {
            return Err(AnnounceError::TooManyUpstreams(self.settings.max_upstreams));
        }
        Ok(())
    }

    /// Stores what an announcement says, or tells the owner that it came.
    fn renew(&mut self, now: Instant, key: UpstreamKey, upstream: Upstream, service: &Service) {
        let warmup_until = now + Duration::from_millis(service.join.warmup_ms);
        let Some(held) = self.table.get(key) else {
            self.start(now, key, upstream, 1, warmup_until);
            return;
        };
        if held.record.upstream.incarnation != upstream.incarnation {
            let sequence = held.record.sequence.saturating_add(1);
            self.start(now, key, upstream, sequence, warmup_until);
            return;
        }
        let is_same = held.record.upstream == upstream && held.record.status == LeaseStatus::Leased;
        let owner = held.record.owner;
        if !is_same || !self.leaves_to(now, owner, &upstream) {
            self.claim_as(now, key, upstream, LeaseStatus::Leased);
        } else if let Some(pending) = self.outbox.get_mut(&owner) {
            pending.add_renewal(key, upstream.incarnation);
        }
    }

    /// Ends the expired upstreams at an address that another process has
    /// announced: it could not stand there if they still ran.
    ///
    /// Only the entry that took the announcement can tell for sure.
    fn end_expired_at(&mut self, now: Instant, address: SocketAddr) {
        for key in self.table.expired_at(address) {
            self.claim(now, key, LeaseStatus::Gone);
        }
    }

    /// Stores the first record of an incarnation.
    fn start(
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
        self.spread(now, key);
    }

    /// Tells whether a lease that is renewed here stays with its owner.
    ///
    /// Upstreams may announce themselves to the entries of their domain in
    /// turn; the lease doesn't move each time, but for an owner that can't be
    /// told or that only stands in from another domain.
    fn leaves_to(&self, now: Instant, owner: EntryId, upstream: &Upstream) -> bool {
        if owner == self.settings.id {
            return true;
        }
        let stands_in = self.settings.domain_of(owner) != Some(&upstream.domain)
            && self.settings.domain == upstream.domain;
        !stands_in && self.liveness.is_heard(now, owner)
    }
}
