//! Why the data folder can't be used.

use std::io;

use displaydoc::Display;

/// Why the data folder can't be used.
#[derive(Debug, Display)]
pub enum StorageError {
    /// {file}: {source}
    Io {
        /// The file.
        file: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// {file}: damaged at byte {offset}, within what was synced: restore the disk or replace this voter
    Damaged {
        /// The file.
        file: Box<str>,
        /// Where the damaged record begins.
        offset: u64,
    },
    /// {file}: the record at byte {offset} is whole but does not follow from those before it
    Inconsistent {
        /// The file.
        file: Box<str>,
        /// Where the record begins.
        offset: u64,
    },
    /// {file}: there is none; a first start must say whether the site is new or this voter joins it
    Missing {
        /// The file.
        file: Box<str>,
    },
    /// {file}: exists already, so this is not a first start
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
