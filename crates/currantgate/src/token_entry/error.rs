//! Why a token entry can't run.

use std::io;
use std::net::SocketAddrV4;

use displaydoc::Display;

/// Why a token entry can't run.
#[derive(Debug, Display)]
pub enum TokenEntryError {
    /// packets at {address}: {source}
    Packets {
        /// Where packets were to be taken.
        address: SocketAddrV4,
        /// What the system said.
        source: io::Error,
    },
}

impl std::error::Error for TokenEntryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Packets { source, .. } => Some(source),
        }
    }
}
