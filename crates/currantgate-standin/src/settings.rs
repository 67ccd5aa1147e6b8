//! Reading the settings files of the stand-ins.

use std::path::Path;

use currantgate_config::ConfigError;
use serde::de::DeserializeOwned;

use crate::StandinError;

/// A key of a settings file whose value is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The key.
    pub key: &'static str,
    /// What is wrong with its value.
    pub problem: Box<str>,
}

impl Problem {
    pub(crate) fn new(key: &'static str, problem: impl Into<Box<str>>) -> Self {
        Self {
            key,
            problem: problem.into(),
        }
    }
}

/// The settings of one stand-in, as a TOML file gives them.
pub trait Settings: DeserializeOwned {
    /// Checks what the syntax alone can't.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is wrong.
    fn check(&self) -> Result<(), Problem>;

    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    fn load(path: &Path) -> Result<Self, StandinError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            file: name.as_str().into(),
            source,
        })?;
        Self::parse(&text, &name)
    }

    /// Reads and checks the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    fn parse(text: &str, name: &str) -> Result<Self, StandinError> {
        let settings: Self = toml::from_str(text).map_err(|source| ConfigError::Syntax {
            file: name.into(),
            source: Box::new(source),
        })?;
        settings.check().map_err(|found| ConfigError::Value {
            file: name.into(),
            key: found.key.into(),
            problem: found.problem,
        })?;
        Ok(settings)
    }
}
