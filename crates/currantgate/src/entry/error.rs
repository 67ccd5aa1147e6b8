//! The error of starting an entry.

use std::io;
use std::net::SocketAddr;

use currantgate_config::ConfigError;
use displaydoc::Display;

use crate::ControlError;

/// Why an entry can't start.
#[derive(Debug, Display)]
pub enum EntryError {
    /// can't listen on {address} for {purpose}: {source}
    Bind {
        /// The address to bind.
        address: SocketAddr,
        /// The purpose of the socket: its key under `listen`.
        purpose: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// can't start the HTTP server on {address}: {source}
    Serve {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// {0}
    Config(ConfigError),
    /// {0}
    Control(ControlError),
}

impl std::error::Error for EntryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } | Self::Serve { source, .. } => Some(source),
            Self::Config(source) => Some(source),
            Self::Control(source) => Some(source),
        }
    }
}

impl From<ConfigError> for EntryError {
    fn from(source: ConfigError) -> Self {
        Self::Config(source)
    }
}

impl From<ControlError> for EntryError {
    fn from(source: ControlError) -> Self {
        Self::Control(source)
    }
}
