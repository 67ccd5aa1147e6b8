//! Why a command failed.

use std::io;
use std::process::ExitCode;

use currantgate::{ClientError, ControlError, EntryError, RelayError};
use currantgate_config::ConfigError;
use currantgate_standin::StandinError;
use derive_more::From;
use displaydoc::Display;

/// Exit code for a file that is wrong.
const EXIT_CONFIG: u8 = 2;

/// Exit code for a change that another one came before.
const EXIT_CONFLICT: u8 = 3;

/// Exit code for a change whose outcome is unknown.
const EXIT_UNKNOWN: u8 = 4;

/// Exit code when no control VM can tell what is present.
const EXIT_NOT_PRESENT: u8 = 5;

/// Exit code for a command that could not do its work.
const EXIT_FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Display, From)]
pub(crate) enum CommandError {
    /// {0}
    Config(ConfigError),
    /// {0}
    Entry(EntryError),
    /// {0}
    Relay(RelayError),
    /// {0}
    Standin(StandinError),
    /// {0}
    Control(ControlError),
    /// {0}
    Client(ClientError),
    /// no control VM that answers holds the lease: a newer revision may have been accepted
    NotPresent,
    /// the disk failed; restart once it is sound, or replace this control VM
    DiskFailed,
    /// {file}: {source}
    #[from(ignore)]
    Log {
        /// The file.
        file: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// no line names flow {0}: was it logged here, and within its budget?
    #[from(ignore)]
    UnknownFlow(Box<str>),
    /// the system refused: {0}
    Io(io::Error),
}

impl CommandError {
    /// Returns the exit code that the guide lists for the error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Config(_)
            | Self::Entry(EntryError::Config(_))
            | Self::Relay(RelayError::Config(_) | RelayError::UnknownService(_))
            | Self::Standin(StandinError::Config(_))
            | Self::Control(ControlError::Config(_) | ControlError::NotAVoter(_))
            | Self::Client(ClientError::InvalidFile(_)) => EXIT_CONFIG,
            Self::Client(ClientError::Conflict(_)) => EXIT_CONFLICT,
            Self::Client(ClientError::OutcomeUnknown) => EXIT_UNKNOWN,
            Self::Client(ClientError::NoQuorum(_)) | Self::NotPresent => EXIT_NOT_PRESENT,
            Self::Entry(_)
            | Self::Relay(_)
            | Self::Standin(_)
            | Self::Control(_)
            | Self::Client(_)
            | Self::DiskFailed
            | Self::Log { .. }
            | Self::UnknownFlow(_)
            | Self::Io(_) => EXIT_FAILED,
        })
    }
}
