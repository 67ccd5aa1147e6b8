//! Compact ids that messages and tables carry in place of names.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Names one entry VM; it comes from the VM's own settings.
pub type EntryId = u16;

/// Names one service; all VMs derive it alike from the service's name.
pub type ServiceId = u32;

/// Counts the starts of an upstream, so that a restarted one is told apart
/// from its earlier self at the same address.
pub type Incarnation = u64;

/// Names one incarnation of one upstream of one service.
///
/// A new incarnation has a new id, so that no record of an old flow can lead
/// to a process that never saw the flow.
pub type UpstreamId = u64;

/// Returns the id of the service called `name`.
///
/// The id is the same on every VM without any message between them.
pub fn service_id(name: &str) -> ServiceId {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    // The low half is as well mixed as the whole.
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
