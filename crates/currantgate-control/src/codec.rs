//! The encoding of values as bytes, on the wire and on disk.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes `value`.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("bincode can encode all types of this crate")
}

/// Decodes a value that takes up all of `bytes`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, bincode::error::DecodeError> {
    let config = bincode::config::standard();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)?;
    if used < bytes.len() {
        return Err(bincode::error::DecodeError::Other(
            "extra bytes after the value",
        ));
    }
    Ok(value)
}
