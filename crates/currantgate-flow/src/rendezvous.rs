//! Rendezvous hashing (highest random weight), with equal results on every VM.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Returns the weight of `candidate` for `key`.
///
/// When a candidate is added or removed, only the keys for which it has the
/// highest weight change their choice.
pub(crate) fn weight(key: u64, candidate: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(key);
    hasher.write_u64(candidate);
    hasher.finish()
}
