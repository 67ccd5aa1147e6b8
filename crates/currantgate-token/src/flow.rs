//! Identification of flows and upstreams within packets.

use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;

use derive_more::Display;

/// Number that both ends of a flow echo in each packet. It identifies an upstream, the
/// same on all entries; zero identifies none.
pub type Token = u32;

/// The two ends of a flow from the caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{caller}>{service}")]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller sends to.
    pub service: SocketAddrV4,
}

impl Hash for FlowId {
    /// Hashes each end as a single integer, as this is on the path of every packet.
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(as_integer(self.caller));
        state.write_u64(as_integer(self.service));
    }
}

/// Returns the address and port as one integer.
fn as_integer(end: SocketAddrV4) -> u64 {
    u64::from(end.ip().to_bits()) << 16 | u64::from(end.port())
}
