//! Errors of the files in the data directory.

use std::io;

use displaydoc::Display;

/// An error of a file in the data directory.
#[derive(Debug, Display)]
pub enum StorageError {
    /// {file}: {source}
    Io {
        /// The file.
        file: Box<str>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// {file}: synced data is damaged at byte {offset}: restore the disk or replace this voter
    Damaged {
        /// The file.
        file: Box<str>,
        /// The offset of the damaged frame in bytes.
        offset: u64,
    },
    /// {file}: the record at byte {offset} is intact but does not decode or does not continue the records before it
    Inconsistent {
        /// The file.
        file: Box<str>,
        /// The offset of the frame in bytes.
        offset: u64,
    },
    /// {file}: does not exist; the first start of a voter must state whether to create a new site or to join one
    Missing {
        /// The file.
        file: Box<str>,
    },
    /// {file}: already exists, so this is not the first start of this voter
    Exists {
        /// The file.
        file: Box<str>,
    },
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
