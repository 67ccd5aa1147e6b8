//! Why a stand-in can't run.

use std::io;

use currantgate_config::ConfigError;
use displaydoc::Display;

/// Why a stand-in can't run.
#[derive(Debug, Display)]
pub enum StandinError {
    /// a {0} can't use its socket: {1}
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
