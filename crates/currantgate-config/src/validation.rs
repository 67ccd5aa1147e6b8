//! Checks of values that several files use.

use crate::ConfigError;

/// Maximum length of a name in bytes; names occur in URLs, metrics and logs.
const MAX_NAME_BYTES: usize = 63;

/// Checks that `name` needs no escaping in URLs, metrics and logs.
pub(crate) fn check_name(key: &str, name: &str) -> Result<(), ConfigError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.';
    let is_alphanumeric = |b: Option<&u8>| b.is_some_and(u8::is_ascii_alphanumeric);
    let bytes = name.as_bytes();
    if bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().copied().all(is_allowed)
        && is_alphanumeric(bytes.first())
        && is_alphanumeric(bytes.last())
    {
        return Ok(());
    }
    Err(ConfigError::value(
        key,
        format!(
            "`{name}` must be 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, \
             with a letter or digit at both ends"
        ),
    ))
}

/// Checks that `value` is not zero.
pub(crate) fn check_positive(key: impl Into<Box<str>>, value: u64) -> Result<(), ConfigError> {
    match value {
        0 => Err(ConfigError::value(key, "must be at least 1")),
        _ => Ok(()),
    }
}
