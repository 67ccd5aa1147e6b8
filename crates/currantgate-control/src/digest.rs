//! Digests of site files.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The BLAKE3 digest of a site file.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of `text`.
    pub fn of(text: &str) -> Self {
        Self(*blake3::hash(text.as_bytes()).as_bytes())
    }

    /// Parses a digest of 64 hexadecimal digits. Returns `None` for other text.
    pub fn parse(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text)
            .ok()
            .map(|hash| Self(*hash.as_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
