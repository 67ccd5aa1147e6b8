//! Maps keyed by flow hash or upstream id, without hashing the key again.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::net::SocketAddr;

use currantgate_config::{Protocol, UpstreamId};
use currantgate_packet::FlowHash;
use indexmap::IndexMap;

use crate::record::Record;

/// Records by flow hash; where order matters, callers sort the flows.
pub(crate) type FlowMap = HashMap<FlowHash, Record, BuildHasherDefault<PassthroughHasher>>;

/// Values by upstream id, which is a hash already.
pub(crate) type UpstreamMap<T> = IndexMap<UpstreamId, T, BuildHasherDefault<PassthroughHasher>>;

/// Table indices by the addresses that operators assign to services.
pub(crate) type ServiceMap =
    IndexMap<(Protocol, SocketAddr), usize, BuildHasherDefault<PassthroughHasher>>;

/// A hasher that returns a 64-bit key unchanged, since it is a hash already,
/// and mixes other keys by multiplication. Those keys are chosen by operators,
/// never by callers, so that collisions can't be forced.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PassthroughHasher(u64);

impl PassthroughHasher {
    fn mix(&mut self, value: u64) {
        let mixed = (self.0 ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = mixed ^ mixed >> 32;
    }
}

impl Hasher for PassthroughHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.mix(u64::from_le_bytes(word));
        }
    }

    fn write_u8(&mut self, value: u8) {
        self.mix(u64::from(value));
    }

    fn write_u16(&mut self, value: u16) {
        self.mix(u64::from(value));
    }

    fn write_u32(&mut self, value: u32) {
        self.mix(u64::from(value));
    }

    fn write_usize(&mut self, value: usize) {
        self.mix(value as u64);
    }

    fn write_isize(&mut self, value: isize) {
        self.mix(value as u64);
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}
