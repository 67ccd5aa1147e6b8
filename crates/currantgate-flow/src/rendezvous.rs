//! Highest-random-weight choice, alike on every VM.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Returns how strongly `key` prefers `candidate`.
///
/// When a candidate comes or goes, only the keys that prefer it to all others
/// change hands.
pub(crate) fn weight(key: u64, candidate: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(key);
    hasher.write_u64(candidate);
    hasher.finish()
}
