//! Compact ids that replace names in messages and tables.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Identifies an entry VM; set in the VM's settings.
pub type EntryId = u16;

/// Identifies a service; derived from the service's name.
pub type ServiceId = u32;

/// Identifies one start of an upstream and grows with each restart, which
/// distinguishes a restarted upstream from the earlier process at its address.
pub type Incarnation = u64;

/// Identifies an incarnation of an upstream of a service.
///
/// A new incarnation has a new id, so that the record of an old flow can't route
/// packets to a process that has no state of the flow.
pub type UpstreamId = u64;

/// Returns the id of the service called `name`.
///
/// Every VM computes the same id without exchanging messages.
pub fn service_id(name: &str) -> ServiceId {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    // Each half of the hash is uniformly distributed.
    hasher.finish() as ServiceId
}

/// Returns the id of the given incarnation of the upstream called `name`.
pub fn upstream_id(service: ServiceId, name: &str, incarnation: Incarnation) -> UpstreamId {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(service);
    hasher.write_u64(incarnation);
    hasher.write(name.as_bytes());
    hasher.finish()
}
