//! Errors of the commands and their exit codes.

use std::io;
use std::process::ExitCode;

use currantgate::{ClientError, ControlError, EntryError, RelayError};
use currantgate_config::ConfigError;
use currantgate_standin::StandinError;
use derive_more::From;
use displaydoc::Display;

/// Exit code for an invalid file.
const EXIT_CONFIG: u8 = 2;

/// Exit code for a change that conflicts with another one accepted before it.
const EXIT_CONFLICT: u8 = 3;

/// Exit code for a change whose outcome is unknown.
const EXIT_OUTCOME_UNKNOWN: u8 = 4;

/// Exit code when no reachable control VM can confirm the current revision.
const EXIT_STALE: u8 = 5;

/// Exit code for any other failure.
const EXIT_FAILURE: u8 = 1;

/// Error of a command.
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
    /// no reachable control VM holds the lease: a newer revision may have been accepted
    NoLeaseHolder,
    /// the effect can't be computed: {0} control VMs have not reported their upstreams
    #[from(ignore)]
    PartialData(usize),
    /// no upstream reports failure domain `{0}`, and it is not evacuated
    #[from(ignore)]
    NoSuchDomain(Box<str>),
    /// the disk failed; restart once it is repaired, or replace this control VM
    DiskFailed,
    /// {file}: {source}
    #[from(ignore)]
    Log {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// no line names flow {0}: check that the logs are from its entries and that the log budget was not exceeded
    #[from(ignore)]
    UnknownFlow(Box<str>),
    /// system error: {0}
    Io(io::Error),
}

impl CommandError {
    /// Returns the exit code of the error, as listed in the guide.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Config(_)
            | Self::Entry(EntryError::Config(_))
            | Self::Relay(RelayError::Config(_) | RelayError::UnknownService(_))
            | Self::Standin(StandinError::Config(_))
            | Self::Control(ControlError::Config(_) | ControlError::NotAVoter(_))
            | Self::Client(ClientError::InvalidFile(_)) => EXIT_CONFIG,
            Self::Client(ClientError::Conflict(_)) => EXIT_CONFLICT,
            Self::Client(ClientError::OutcomeUnknown) => EXIT_OUTCOME_UNKNOWN,
            Self::Client(ClientError::NoQuorum(_)) | Self::NoLeaseHolder => EXIT_STALE,
            Self::Entry(_)
            | Self::Relay(_)
            | Self::Standin(_)
            | Self::Control(_)
            | Self::Client(_)
            | Self::PartialData(_)
            | Self::NoSuchDomain(_)
            | Self::DiskFailed
            | Self::Log { .. }
            | Self::UnknownFlow(_)
            | Self::Io(_) => EXIT_FAILURE,
        })
    }
}
