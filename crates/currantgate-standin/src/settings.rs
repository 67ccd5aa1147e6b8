//! Reading the settings files of the stand-ins.

use std::path::Path;

use currantgate_config::{Validate, load_file, parse_file};
use serde::de::DeserializeOwned;

use crate::StandinError;

/// The settings of one stand-in, as a TOML file gives them.
pub trait Settings: Validate + DeserializeOwned {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    fn load(path: &Path) -> Result<Self, StandinError> {
        Ok(load_file(path)?)
    }

    /// Reads and checks the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    fn parse(text: &str, name: &str) -> Result<Self, StandinError> {
        Ok(parse_file(text, name)?)
    }
}

impl<T: Validate + DeserializeOwned> Settings for T {}
