//! Maps flow hashes to records without hashing them again.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::net::SocketAddr;

use currantgate_config::{Protocol, UpstreamId};
use currantgate_packet::FlowHash;
use indexmap::IndexMap;

use crate::record::Record;

/// Maps flow hashes to records; flows are sorted wherever their order matters.
pub(crate) type FlowMap = HashMap<FlowHash, Record, BuildHasherDefault<PassthroughHasher>>;

/// Maps ids that are hashes already to values.
pub(crate) type UpstreamMap<T> = IndexMap<UpstreamId, T, BuildHasherDefault<PassthroughHasher>>;

/// Maps the addresses that operators gave services to the services' tables.
pub(crate) type ServiceMap =
    IndexMap<(Protocol, SocketAddr), usize, BuildHasherDefault<PassthroughHasher>>;

/// Takes a key that is the outcome of a hash as its own hash, and mixes other
/// keys, which operators and no caller choose, with a multiplication.
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
