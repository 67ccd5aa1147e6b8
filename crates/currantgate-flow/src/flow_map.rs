//! Maps flow hashes to records without hashing them again.

use std::hash::{BuildHasherDefault, Hasher};

use currantgate_config::UpstreamId;
use currantgate_packet::FlowHash;
use indexmap::IndexMap;

use crate::record::Record;

/// Maps flow hashes to records.
pub(crate) type FlowMap = IndexMap<FlowHash, Record, BuildHasherDefault<KeyedHash>>;

/// Maps ids that are hashes already to values.
pub(crate) type UpstreamMap<T> = IndexMap<UpstreamId, T, BuildHasherDefault<KeyedHash>>;

/// Takes a key that is the outcome of a hash as its own hash.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeyedHash(u64);

impl Hasher for KeyedHash {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}
