//! Why an entry has no answer of its own to a packet.

use displaydoc::Display;

use crate::PacketError;

/// Why an entry has no answer of its own to a packet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BuildError {
    /// the packet is of a kind that must not be answered
    MustNotAnswer,
    /// the flow's two addresses are of different families
    AddressFamilyMismatch,
    /// the answer can't be built
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
