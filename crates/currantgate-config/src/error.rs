//! What can be wrong with a settings or site file.

use std::io;

use displaydoc::Display;

/// What is wrong with a file, naming the file and the line or key at fault.
#[derive(Debug, Display)]
pub enum ConfigError {
    /// {file}: can't be read: {source}
    Read {
        /// The file's path.
        file: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// {file}: {source}
    Syntax {
        /// The file's path.
        file: Box<str>,
        /// What the parser said; it tells line and column.
        source: Box<toml::de::Error>,
    },
    /// {file}: key `{key}`: {problem}
    Value {
        /// The file's path.
        file: Box<str>,
        /// The key whose value is wrong.
        key: Box<str>,
        /// What is wrong with it.
        problem: Box<str>,
    },
}

impl ConfigError {
    /// Builds an error about one key of a file that is named later.
    pub(crate) fn value(key: impl Into<Box<str>>, problem: impl Into<Box<str>>) -> Self {
        Self::Value {
            file: "".into(),
            key: key.into(),
            problem: problem.into(),
        }
    }

    /// Names the file that the error is about.
    pub(crate) fn in_file(self, name: &str) -> Self {
        match self {
            Self::Value { key, problem, .. } => Self::Value {
                file: name.into(),
                key,
                problem,
            },
            other => other,
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read { source, .. } => Some(source),
            Self::Syntax { source, .. } => Some(source),
            Self::Value { .. } => None,
        }
    }
}
