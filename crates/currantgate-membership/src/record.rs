//! What entries tell each other about one upstream.

use std::cmp::Reverse;
use std::hash::Hasher as _;
use std::net::SocketAddr;

use currantgate_config::{EntryId, Incarnation, ServiceId, upstream_id};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{Upstream, UpstreamState};

/// Names an upstream across its incarnations: a hash of service and name.
pub(crate) type UpstreamKey = u64;

/// A hash of everything in a record that its owner decides.
pub(crate) type RecordHash = u64;

/// Returns the key of the upstream called `name` of a service.
pub(crate) fn upstream_key(service: ServiceId, name: &str) -> UpstreamKey {
    upstream_id(service, name, 0)
}

/// How the owner of a record sees the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LeaseStatus {
    /// Its lease has run out.
    Expired,
    /// Its lease holds.
    Leased,
    /// This incarnation has ended for good.
    Gone,
}

/// What decides which of two records of one upstream is the newer one.
///
/// An ended incarnation never returns, and the address of an incarnation never
/// changes; both stand before the sequence for that reason. Of equal sequences
/// a held lease wins over one that ran out.
pub(crate) type Rank = (
    Incarnation,
    Reverse<SocketAddr>,
    bool,
    u64,
    LeaseStatus,
    UpstreamState,
    EntryId,
);

/// One upstream as the entry that owns its lease tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The upstream as it announced itself.
    pub upstream: Upstream,
    /// Grows with each change and with each move to another owner.
    pub sequence: u64,
    /// The entry that owns the lease.
    pub owner: EntryId,
    /// How the owner sees the upstream.
    pub status: LeaseStatus,
    /// Milliseconds until the upstream's share is at its full size.
    pub warmup_left_ms: u32,
}

impl Record {
    /// Returns the key of the record's upstream.
    pub(crate) fn key(&self) -> UpstreamKey {
        upstream_key(self.upstream.service, &self.upstream.name)
    }

    /// Returns what decides which of two records is the newer one.
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
    /// The time left to warm is not part of it, since it changes by itself.
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
