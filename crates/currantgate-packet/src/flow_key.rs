//! The key that identifies a flow.

use std::net::SocketAddr;

use currantgate_config::Protocol;
use derive_more::Display;

/// The protocol and the addresses that all packets of a flow have in common.
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
