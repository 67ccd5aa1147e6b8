//! Checks that several files share.

use crate::ConfigError;

/// The longest name, in bytes; names travel in URLs, metrics and logs.
const MAX_NAME_BYTES: usize = 63;

/// Checks that `name` can stand in URLs, metrics and logs unescaped.
pub(crate) fn check_name(key: &str, name: &str) -> Result<(), ConfigError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.';
    let ends = |b: Option<&u8>| b.is_some_and(u8::is_ascii_alphanumeric);
    let bytes = name.as_bytes();
    if bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().copied().all(allowed)
        && ends(bytes.first())
        && ends(bytes.last())
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
