//! A record as one entry holds it.

use std::time::Instant;

use crate::record::RecordHash;
use crate::{Lease, LeaseStatus, Record};

/// A record together with what only this entry knows about it.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) record: Record,
    pub(crate) hash: RecordHash,
    /// When the upstream's share is at its full size.
    pub(crate) warmup_until: Instant,
    /// When the lease runs out; for an ended upstream, when it is forgotten.
    pub(crate) lease: Lease,
    /// Until when the last announcement that this entry itself took holds.
    pub(crate) announced_until: Option<Instant>,
    /// The record's owner no longer vouches for it: when another is to adopt it.
    pub(crate) adopt_at: Option<Instant>,
    /// Until when an expiry counts as part of one and the same event.
    pub(crate) recent_until: Option<Instant>,
    /// Until when the owner's word that the upstream is late counts.
    pub(crate) late_until: Option<Instant>,
    /// Another entry misses the upstream too.
    pub(crate) is_confirmed: bool,
    /// What the upstream's own load endpoint said, in percent.
    pub(crate) load: Option<u32>,
}

impl Held {
    pub(crate) fn new(record: Record, warmup_until: Instant, lease: Lease) -> Self {
        Self {
            hash: record.hash(),
            record,
            warmup_until,
            lease,
            announced_until: None,
            adopt_at: None,
            recent_until: None,
            late_until: None,
            is_confirmed: false,
            load: None,
        }
    }

    /// Tells whether the upstream lately announced itself to this entry.
    pub(crate) fn is_announced(&self, now: Instant) -> bool {
        self.announced_until.is_some_and(|deadline| deadline > now)
    }

    /// Tells whether the record's digest is part of its owner's set.
    pub(crate) fn is_counted(&self) -> bool {
        self.record.status != LeaseStatus::Gone && self.adopt_at.is_none()
    }
}
