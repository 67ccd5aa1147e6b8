//! Replicated record of one upstream.

use std::cmp::Reverse;
use std::hash::Hasher as _;
use std::net::SocketAddr;

use currantgate_config::{EntryId, Incarnation, ServiceId, upstream_id};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{Upstream, UpstreamState};

/// Key of an upstream across its incarnations: a hash of service and name.
pub(crate) type UpstreamKey = u64;

/// Hash of everything in a record that its owner decides.
pub(crate) type RecordHash = u64;

/// Returns the key of the upstream called `name` of a service.
pub(crate) fn upstream_key(service: ServiceId, name: &str) -> UpstreamKey {
    upstream_id(service, name, 0)
}

/// Status of an upstream's lease as its owner decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LeaseStatus {
    /// The lease has expired.
    Expired,
    /// The lease is valid.
    Leased,
    /// The incarnation has ended permanently.
    Gone,
}

/// Order of the records of one upstream; the higher one is the newer one.
///
/// An ended incarnation never returns and the address of an incarnation never
/// changes, so both are compared before the sequence. With equal sequences, a
/// valid lease ranks above an expired one.
pub(crate) type Rank = (
    Incarnation,
    Reverse<SocketAddr>,
    bool,
    u64,
    LeaseStatus,
    UpstreamState,
    EntryId,
);

/// State of one upstream, as the entry that owns its lease replicates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Upstream as it announced itself.
    pub upstream: Upstream,
    /// Sequence number, which grows with each change and each change of owner.
    pub sequence: u64,
    /// Entry that owns the lease.
    pub owner: EntryId,
    /// Status of the lease.
    pub status: LeaseStatus,
    /// Time until the end of the warm-up, in milliseconds.
    pub warmup_left_ms: u32,
}

impl Record {
    /// Returns the key of the record's upstream.
    pub(crate) fn key(&self) -> UpstreamKey {
        upstream_key(self.upstream.service, &self.upstream.name)
    }

    /// Returns the rank that orders the records of one upstream.
    pub(crate) fn rank(&self) -> Rank {
        (
            self.upstream.incarnation,
            Reverse(self.upstream.address),
            self.status == LeaseStatus::Gone,
            self.sequence,
            self.status,
            self.upstream.state,
            self.owner,
        )
    }

    /// Returns a hash of everything that the owner decides.
    ///
    /// The remaining warm-up time is left out, since it changes with time alone.
    pub(crate) fn hash(&self) -> RecordHash {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.key());
        hasher.write_u64(self.upstream.incarnation);
        hasher.write(self.upstream.address.to_string().as_bytes());
        hasher.write(self.upstream.domain.as_bytes());
        hasher.write_u32(self.upstream.slots);
        hasher.write_u8(self.upstream.state as u8);
        hasher.write_u64(self.sequence);
        hasher.write_u16(self.owner);
        hasher.write_u8(self.status as u8);
        hasher.finish()
    }
}
