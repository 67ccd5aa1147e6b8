//! Loading of the stand-ins' settings files.

use std::path::Path;

use currantgate_config::{Validate, load_file, parse_file};
use serde::de::DeserializeOwned;

use crate::StandinError;

/// Settings of a stand-in that are loaded from a TOML file.
pub trait Settings: Validate + DeserializeOwned {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and the invalid line or key.
    fn load(path: &Path) -> Result<Self, StandinError> {
        Ok(load_file(path)?)
    }

    /// Parses and validates the text of a settings file; `name` identifies it in errors.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and the invalid line or key.
    fn parse(text: &str, name: &str) -> Result<Self, StandinError> {
        Ok(parse_file(text, name)?)
    }
}

impl<T: Validate + DeserializeOwned> Settings for T {}
