//! Reads TOML files whole or not at all.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::ConfigError;

/// A file's contents that can be checked beyond their syntax.
pub trait Validate {
    /// Checks what the syntax alone can't.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is wrong.
    fn validate(&self) -> Result<(), ConfigError>;

    /// Takes relative paths to start at `folder`, where the file is.
    fn resolve_paths(&mut self, _folder: &Path) {}
}

/// Reads and checks the file at `path`.
///
/// # Errors
///
/// Returns an error that names the file, and the line or key at fault.
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

/// Reads and checks the text of a file called `name`.
///
/// # Errors
///
/// Returns an error that names the file, and the line or key at fault.
pub fn parse<T: Validate + DeserializeOwned>(text: &str, name: &str) -> Result<T, ConfigError> {
    let contents: T =
        toml::from_str(text).map_err(|source| ConfigError::syntax(name, text, &source))?;
    contents.validate().map_err(|e| e.in_file(name))?;
    Ok(contents)
}
