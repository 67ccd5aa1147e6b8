//! Highest-random-weight choice, alike on every VM.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Returns the candidate with the highest weight for `key`.
///
/// When a candidate comes or goes, only the keys that it wins or won change
/// hands.
pub(crate) fn choose(key: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|candidate| weight(key, *candidate))
}

fn weight(key: u64, candidate: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(key);
    hasher.write_u64(candidate);
    hasher.finish()
}
