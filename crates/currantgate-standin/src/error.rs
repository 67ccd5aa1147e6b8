//! Why a stand-in can't run.

use std::io;

use displaydoc::Display;

/// Why a stand-in can't run.
#[derive(Debug, Display)]
pub enum StandinError {
    /// a {0} can't use its socket: {1}
    Socket(&'static str, io::Error),
}

impl std::error::Error for StandinError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        let Self::Socket(_, source) = self;
        Some(source)
    }
}
