//! The error of starting a control node.

use std::io;

use currantgate_control::StorageError;
use displaydoc::Display;

use crate::ControlError;

/// Why a control node can't start.
#[derive(Debug, Display)]
pub enum NodeError {
    /// data directory {directory}: {source}
    DataDirectory {
        /// Path of the directory.
        directory: Box<str>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// data directory {directory}: {source}
    Storage {
        /// Path of the directory.
        directory: Box<str>,
        /// The error of one of its files.
        source: StorageError,
    },
    /// {0}
    Control(ControlError),
}

impl std::error::Error for NodeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::DataDirectory { source, .. } => Some(source),
            Self::Storage { source, .. } => Some(source),
            Self::Control(source) => Some(source),
        }
    }
}

impl From<ControlError> for NodeError {
    fn from(source: ControlError) -> Self {
        Self::Control(source)
    }
}
