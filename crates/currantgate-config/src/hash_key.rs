//! The secret key of the flow hash.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a key.
const KEY_DIGITS: usize = 32;

/// The secret key of the flow hash, written as 32 hexadecimal digits.
///
/// A caller with the key could choose the bucket of a flow, so debug output
/// hides it.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct HashKey(u128);

impl HashKey {
    /// Returns the key as a number.
    pub fn value(self) -> u128 {
        self.0
    }
}

impl TryFrom<Box<str>> for HashKey {
    type Error = &'static str;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        let is_hexadecimal = text.bytes().all(|b| b.is_ascii_hexdigit());
        if text.len() != KEY_DIGITS || !is_hexadecimal {
            return Err("hash_key must be 32 hexadecimal digits");
        }
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(|_| "hash_key must be 32 hexadecimal digits")
    }
}

impl From<HashKey> for Box<str> {
    fn from(key: HashKey) -> Self {
        format!("{:032x}", key.0).into()
    }
}

impl fmt::Debug for HashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HashKey(hidden)")
    }
}
