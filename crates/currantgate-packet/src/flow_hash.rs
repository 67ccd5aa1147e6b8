//! The keyed hash that identifies a flow in tables and messages.

use std::hash::Hasher as _;
use std::net::{IpAddr, SocketAddr};

use currantgate_config::Protocol;
use siphasher::sip::SipHasher13;

use crate::FlowKey;

/// Identifies a flow in tables and messages.
pub type FlowHash = u64;

/// Hashes flow keys with a secret key, so that callers can't choose their bucket.
#[derive(Clone, Debug)]
pub struct FlowHasher {
    key: [u8; 16],
}

impl FlowHasher {
    /// Returns a hasher for the site's secret key.
    pub fn new(key: u128) -> Self {
        Self {
            key: key.to_be_bytes(),
        }
    }

    /// Returns the hash of `key`, which is the same on every entry of the site.
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        let mut hasher = SipHasher13::new_with_key(&self.key);
        hasher.write_u8(match key.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        });
        write_address(&mut hasher, &key.caller);
        write_address(&mut hasher, &key.service);
        hasher.finish()
    }
}

fn write_address(hasher: &mut SipHasher13, address: &SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => hasher.write_u32(ip.to_bits()),
        IpAddr::V6(ip) => hasher.write_u128(ip.to_bits()),
    }
    hasher.write_u16(address.port());
}
