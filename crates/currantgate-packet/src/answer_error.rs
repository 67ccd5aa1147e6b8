//! Why an entry has no answer of its own to a packet.

use displaydoc::Display;

use crate::PacketError;

/// Why an entry has no answer of its own to a packet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum AnswerError {
    /// the packet is of a kind that must not be answered
    NeverAnswered,
    /// the flow's two addresses are of different families
    Families,
    /// the answer can't be built
    Build,
    /// {0}
    Packet(PacketError),
}

impl std::error::Error for AnswerError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Packet(source) => Some(source),
            Self::NeverAnswered | Self::Families | Self::Build => None,
        }
    }
}

impl From<PacketError> for AnswerError {
    fn from(source: PacketError) -> Self {
        Self::Packet(source)
    }
}
