//! Errors of the transport.

use std::io;

use displaydoc::Display;

/// An error while messages are exchanged.
#[derive(Debug, Display)]
pub enum TransportError {
    /// {0}
    Io(io::Error),
    /// HTTP/2: {0}
    Http2(h2::Error),
    /// the operation timed out
    Timeout,
    /// the stream ended before a complete message
    Truncated,
    /// the size of a message, {0} bytes, is out of range
    TooLarge(usize),
    /// the authentication of a message failed: check that both sides have the same key
    NotAuthentic,
    /// a message can't be decoded: {0}
    Decode(bincode::error::DecodeError),
    /// the path of a request is malformed
    BadPath,
    /// the other side answered with status {0}
    Status(u16),
}

impl TransportError {
    /// Returns whether a connection was refused, as nothing listens at the address.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl std::error::Error for TransportError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(source) => Some(source),
            Self::Http2(source) => Some(source),
            Self::Decode(source) => Some(source),
            _ => None,
        }
    }
}

impl From<io::Error> for TransportError {
    fn from(source: io::Error) -> Self {
        Self::Io(source)
    }
}

impl From<h2::Error> for TransportError {
    fn from(source: h2::Error) -> Self {
        Self::Http2(source)
    }
}

impl From<bincode::error::DecodeError> for TransportError {
    fn from(source: bincode::error::DecodeError) -> Self {
        Self::Decode(source)
    }
}
