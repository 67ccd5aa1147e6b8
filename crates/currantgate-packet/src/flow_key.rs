//! What tells one flow from another.

use std::net::SocketAddr;

use currantgate_config::Protocol;
use derive_more::Display;

/// The addresses and protocol that all packets of one flow share.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display("{protocol:?} {caller} -> {service}")]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub caller: SocketAddr,
    /// The service's address and port.
    pub service: SocketAddr,
}
