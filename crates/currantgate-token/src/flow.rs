//! Names of flows and of upstreams within packets.

use std::net::SocketAddrV4;

use derive_more::Display;

/// What the ends of a flow return in each packet: it names an upstream, alike
/// on all entries. Zero names none.
pub type Token = u32;

/// The two ends of a flow as the caller sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{caller}>{service}")]
pub struct FlowId {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port that the caller asked for.
    pub service: SocketAddrV4,
}
