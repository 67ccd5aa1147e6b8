//! Errors in building a reset or an ICMP error.

use displaydoc::Display;

use crate::PacketError;

/// The reason why a reset or an ICMP error can't be built.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BuildError {
    /// a packet of this kind must not be answered
    MustNotAnswer,
    /// the flow's two addresses belong to different families
    AddressFamilyMismatch,
    /// the packet can't be encoded
    Encode,
    /// {0}
    Packet(PacketError),
}

impl std::error::Error for BuildError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Packet(source) => Some(source),
            Self::MustNotAnswer | Self::AddressFamilyMismatch | Self::Encode => None,
        }
    }
}

impl From<PacketError> for BuildError {
    fn from(source: PacketError) -> Self {
        Self::Packet(source)
    }
}
