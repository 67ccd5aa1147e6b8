//! Errors of the stand-ins.

use std::io;

use currantgate_config::ConfigError;
use displaydoc::Display;

/// Error of a stand-in.
#[derive(Debug, Display)]
pub enum StandinError {
    /// socket error of the stand-in {0}: {1}
    Socket(&'static str, io::Error),
    /// {0}
    Config(ConfigError),
}

impl std::error::Error for StandinError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Socket(_, source) => Some(source),
            Self::Config(source) => Some(source),
        }
    }
}

impl From<ConfigError> for StandinError {
    fn from(source: ConfigError) -> Self {
        Self::Config(source)
    }
}
