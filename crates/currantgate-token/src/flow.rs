//! Names of flows and of upstreams within packets.

use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;

use derive_more::Display;

/// What the ends of a flow return in each packet: it names an upstream, alike
/// on all entries. Zero names none.
pub type Token = u32;

/// The two ends of a flow as the caller sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{caller}>{service}")]
pub struct FlowId {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port that the caller asked for.
    pub service: SocketAddrV4,
}

impl Hash for FlowId {
    /// Hashes each end as one number, as packets are looked up by it.
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(as_number(self.caller));
        state.write_u64(as_number(self.service));
    }
}

fn as_number(end: SocketAddrV4) -> u64 {
    u64::from(end.ip().to_bits()) << 16 | u64::from(end.port())
}
