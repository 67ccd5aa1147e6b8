//! How values become bytes, on the wire and on disk.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the bytes of `value`.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("the types of this crate hold nothing that bincode can't encode")
}

/// Reads a value that fills `bytes`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, bincode::error::DecodeError> {
    let config = bincode::config::standard();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)?;
    if used < bytes.len() {
        return Err(bincode::error::DecodeError::Other("bytes are left over"));
    }
    Ok(value)
}
