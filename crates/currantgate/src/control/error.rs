//! Errors of starting a control daemon and of requests to one.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use currantgate_config::ConfigError;
use currantgate_control::{Revision, RevisionId, StorageError, TransportError};
use displaydoc::Display;

use crate::EntryError;

/// Why a control daemon can't start.
#[derive(Debug, Display)]
pub enum ControlError {
    /// {0}
    Config(ConfigError),
    /// the data directory {folder} can't be used: {source}
    Storage {
        /// Path of the folder.
        folder: Box<str>,
        /// The error of one of its files.
        source: StorageError,
    },
    /// the data directory {folder} can't be used: {source}
    Folder {
        /// Path of the folder.
        folder: Box<str>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// can't listen on {address}: {source}
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// can't serve the metrics: {0}
    Metrics(Box<EntryError>),
    /// control VM {0} is not among the voters of its settings
    NotAVoter(u64),
}

impl std::error::Error for ControlError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Config(source) => Some(source),
            Self::Storage { source, .. } => Some(source),
            Self::Folder { source, .. } | Self::Listen { source, .. } => Some(source),
            Self::Metrics(source) => Some(source),
            Self::NotAVoter(_) => None,
        }
    }
}

impl From<ConfigError> for ControlError {
    fn from(source: ConfigError) -> Self {
        Self::Config(source)
    }
}

impl From<EntryError> for ControlError {
    fn from(source: EntryError) -> Self {
        Self::Metrics(Box::new(source))
    }
}

impl ControlError {
    /// Returns a function that adds the folder's path to a storage error.
    pub(super) fn storage(folder: &Path) -> impl Fn(StorageError) -> Self {
        move |source| Self::Storage {
            folder: folder.display().to_string().into(),
            source,
        }
    }
}

/// Why a request of an operator failed.
#[derive(Debug, Display)]
pub enum ClientError {
    /// revision {0} was accepted on the same base or a later one, and nothing was applied: show it, merge and apply again
    Conflict(RevisionId),
    /// the file is invalid, and nothing was applied: {0}
    InvalidFile(Box<str>),
    /// the outcome is unknown: the change may have been accepted or may be later; apply the same file on the same revision again to find out
    OutcomeUnknown,
    /// no control VM holds the lease of a quorum; nothing was changed: {0}
    NoQuorum(Box<str>),
    /// no control VM that replies has revision {0}
    UnknownRevision(Revision),
    /// the file is larger than the control VMs accept
    TooLarge,
    /// the voters can't be changed so: the lost VM is no voter or is the leader, or the new id is in use
    WrongMembers,
    /// {0}, and nothing was done
    InvalidOrder(Box<str>),
    /// these control VMs feed no entries, so that nothing would carry out the order
    FeedsNoEntries,
    /// {0}: its reply does not match the request, as from a VM that is not a voter
    UnexpectedReply(SocketAddr),
    /// {server}: {source}
    Transport {
        /// The control VM.
        server: SocketAddr,
        /// The error of the connection.
        source: TransportError,
    },
}

impl std::error::Error for ClientError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Transport { source, .. } => Some(source),
            _ => None,
        }
    }
}
