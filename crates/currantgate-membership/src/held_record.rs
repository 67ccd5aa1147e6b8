//! Record with the state that is local to this entry.

use std::time::Instant;

use crate::record::RecordHash;
use crate::{Lease, LeaseStatus, Record};

/// Record with the state that is local to this entry and not replicated.
#[derive(Clone, Debug)]
pub(crate) struct HeldRecord {
    pub(crate) record: Record,
    pub(crate) hash: RecordHash,
    /// When the warm-up ends and the upstream gets its full share of flows.
    pub(crate) warmup_until: Instant,
    /// When the lease expires; for an ended incarnation, when its tombstone is removed.
    pub(crate) lease: Lease,
    /// Until when the last announcement that this entry accepted itself is valid.
    pub(crate) announced_until: Option<Instant>,
    /// When another entry may adopt the record; set while it is orphaned, that is
    /// while its owner is dead or no longer lists it.
    pub(crate) adopt_at: Option<Instant>,
    /// Until when an expired lease counts as recently expired, so that it is taken
    /// for part of the same event as others.
    pub(crate) recently_expired_until: Option<Instant>,
    /// Until when the owner's report that the upstream is late is valid.
    pub(crate) reported_late_until: Option<Instant>,
    /// Whether another entry has confirmed that the upstream is silent.
    pub(crate) is_silence_confirmed: bool,
    /// Load that the upstream's own load endpoint reported, in percent of its capacity.
    pub(crate) load: Option<u32>,
}

impl HeldRecord {
    pub(crate) fn new(record: Record, warmup_until: Instant, lease: Lease) -> Self {
        Self {
            hash: record.hash(),
            record,
            warmup_until,
            lease,
            announced_until: None,
            adopt_at: None,
            recently_expired_until: None,
            reported_late_until: None,
            is_silence_confirmed: false,
            load: None,
        }
    }

    /// Returns whether an announcement that this entry accepted itself is still valid.
    pub(crate) fn is_announced(&self, now: Instant) -> bool {
        self.announced_until.is_some_and(|deadline| deadline > now)
    }

    /// Returns whether the record is part of its owner's digest.
    pub(crate) fn is_in_owner_digest(&self) -> bool {
        self.record.status != LeaseStatus::Gone && self.adopt_at.is_none()
    }
}
