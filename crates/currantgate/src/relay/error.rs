//! The error of starting a relay.

use std::io;
use std::net::SocketAddr;

use currantgate_config::ConfigError;
use displaydoc::Display;

use crate::{ControlError, EntryError};

/// Why a relay can't start.
#[derive(Debug, Display)]
pub enum RelayError {
    /// can't listen on {address} for {purpose}: {source}
    Bind {
        /// The address to bind.
        address: SocketAddr,
        /// The purpose of the socket: the name of a service or the key under `listen`.
        purpose: Box<str>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// key `serve.service`: no service is called `{0}`
    UnknownService(Box<str>),
    /// {0}
    Http(EntryError),
    /// {0}
    Config(ConfigError),
    /// {0}
    Control(ControlError),
}

impl std::error::Error for RelayError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } => Some(source),
            Self::Http(source) => Some(source),
            Self::Config(source) => Some(source),
            Self::Control(source) => Some(source),
            Self::UnknownService(_) => None,
        }
    }
}

impl From<EntryError> for RelayError {
    fn from(source: EntryError) -> Self {
        Self::Http(source)
    }
}

impl From<ConfigError> for RelayError {
    fn from(source: ConfigError) -> Self {
        Self::Config(source)
    }
}

impl From<ControlError> for RelayError {
    fn from(source: ControlError) -> Self {
        Self::Control(source)
    }
}
