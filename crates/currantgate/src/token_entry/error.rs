//! The error of starting a token entry.

use std::io;
use std::net::SocketAddrV4;

use displaydoc::Display;

/// Why a token entry can't start.
#[derive(Debug, Display)]
pub enum TokenEntryError {
    /// failed to bind the packet socket to {address}: {source}
    PacketSocket {
        /// The address that the socket was to be bound to.
        address: SocketAddrV4,
        /// The error of the socket.
        source: io::Error,
    },
}

impl std::error::Error for TokenEntryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::PacketSocket { source, .. } => Some(source),
        }
    }
}
