//! Errors in a settings or site file.

use std::io;

use displaydoc::Display;

/// An error in a file, which names the file and the line or key at fault.
#[derive(Debug, Display)]
pub enum ConfigError {
    /// {file}: can't be read: {source}
    Read {
        /// The file's path.
        file: Box<str>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// {file}: line {line}, column {column}: {problem}
    Syntax {
        /// The file's path.
        file: Box<str>,
        /// The line number, counted from 1.
        line: usize,
        /// The column number in bytes, counted from 1.
        column: usize,
        /// The parser's message.
        problem: Box<str>,
    },
    /// {file}: key `{key}`: {problem}
    Value {
        /// The file's path.
        file: Box<str>,
        /// The key whose value is wrong.
        key: Box<str>,
        /// The problem with the value.
        problem: Box<str>,
    },
}

impl ConfigError {
    /// Returns the error for a TOML syntax error in `text`.
    ///
    /// It does not quote the text, which may contain a secret.
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

    /// Returns an error about the value of `key`, still without the file's name.
    pub fn value(key: impl Into<Box<str>>, problem: impl Into<Box<str>>) -> Self {
        Self::Value {
            file: "".into(),
            key: key.into(),
            problem: problem.into(),
        }
    }

    /// Adds the file's name to an error about a value.
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
