//! Why a command failed.

use std::io;
use std::process::ExitCode;

use currantgate::{EntryError, RelayError};
use currantgate_config::ConfigError;
use currantgate_standin::StandinError;
use displaydoc::Display;

/// Exit code for a file that is wrong.
const EXIT_CONFIG: u8 = 2;

/// Exit code for a command that could not do its work.
const EXIT_FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Display)]
pub(crate) enum CommandError {
    /// {0}
    Config(ConfigError),
    /// {0}
    Entry(EntryError),
    /// {0}
    Relay(RelayError),
    /// {0}
    Standin(StandinError),
    /// the system refused: {0}
    Io(io::Error),
}

impl CommandError {
    /// Returns the exit code that the guide lists for the error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Config(_)
            | Self::Entry(EntryError::Config(_))
            | Self::Relay(RelayError::Config(_) | RelayError::UnknownService(_))
            | Self::Standin(StandinError::Config(_)) => ExitCode::from(EXIT_CONFIG),
            Self::Entry(_) | Self::Relay(_) | Self::Standin(_) | Self::Io(_) => {
                ExitCode::from(EXIT_FAILED)
            }
        }
    }
}

impl From<ConfigError> for CommandError {
    fn from(source: ConfigError) -> Self {
        Self::Config(source)
    }
}

impl From<EntryError> for CommandError {
    fn from(source: EntryError) -> Self {
        Self::Entry(source)
    }
}

impl From<RelayError> for CommandError {
    fn from(source: RelayError) -> Self {
        Self::Relay(source)
    }
}

impl From<StandinError> for CommandError {
    fn from(source: StandinError) -> Self {
        Self::Standin(source)
    }
}

impl From<io::Error> for CommandError {
    fn from(source: io::Error) -> Self {
        Self::Io(source)
    }
}
