//! The choice of the control VM that merges a domain's observations.

use std::hash::{Hash as _, Hasher as _};
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;

/// Returns the control VM that merges the observations of a failure domain's entries,
/// of those that an entry is connected to.
///
/// Entries of one domain mostly use its own upstreams, so what they observe belongs
/// together. All that are connected to the same control VMs choose the same one
/// without a message (rendezvous hashing). When it is lost, only its domains move.
pub fn choose_collector(
    domain: &str,
    connected: impl IntoIterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let weight = |address: &SocketAddr| {
        let mut hasher = SipHasher13::new();
        domain.hash(&mut hasher);
        address.hash(&mut hasher);
        (hasher.finish(), *address)
    };
    connected.into_iter().max_by_key(weight)
}
