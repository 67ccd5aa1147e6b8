//! Reads and validates TOML files.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::ConfigError;

/// The contents of a file, which can be validated beyond their syntax.
pub trait Validate {
    /// Validates the values beyond their syntax.
    ///
    /// # Errors
    ///
    /// Returns an error for the first key with an invalid value.
    fn validate(&self) -> Result<(), ConfigError>;

    /// Makes relative paths start at `folder`, the folder of the file.
    fn resolve_paths(&mut self, _folder: &Path) {}
}

/// Reads and validates the file at `path`.
///
/// # Errors
///
/// Returns an error that names the file and the line or key at fault.
pub fn load<T: Validate + DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
        file: name.as_str().into(),
        source,
    })?;
    let mut contents: T = parse(&text, &name)?;
    if let Some(folder) = path.parent() {
        contents.resolve_paths(folder);
    }
    Ok(contents)
}

/// Parses and validates the text of a file called `name`.
///
/// # Errors
///
/// Returns an error that names the file and the line or key at fault.
pub fn parse<T: Validate + DeserializeOwned>(text: &str, name: &str) -> Result<T, ConfigError> {
    let contents: T =
        toml::from_str(text).map_err(|source| ConfigError::syntax(name, text, &source))?;
    contents.validate().map_err(|e| e.in_file(name))?;
    Ok(contents)
}
