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
    /// {file}: line {line}, column {column}: {problem}
    Syntax {
        /// The file's path.
        file: Box<str>,
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What the parser said.
        problem: Box<str>,
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
    /// Builds an error from what the TOML parser said about `text`.
    ///
    /// The text itself is not quoted: it may hold a secret.
    pub(crate) fn syntax(file: &str, text: &str, source: &toml::de::Error) -> Self {
        let start = source.span().map_or(0, |span| span.start);
        let before = text.get(..start).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        Self::Syntax {
            file: file.into(),
            line: before.matches('\n').count() + 1,
            column: before.len() - line_start + 1,
            problem: source.message().into(),
        }
    }

    /// Builds an error about one key of a file that is named later.
    pub fn value(key: impl Into<Box<str>>, problem: impl Into<Box<str>>) -> Self {
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
            Self::Syntax { .. } | Self::Value { .. } => None,
        }
    }
}
