//! The secret key that authenticates control messages.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;

/// The secret key that authenticates control messages, written as 64 hexadecimal
/// digits. Debug output hides it.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct ControlKey([u8; KEY_BYTES]);

impl ControlKey {
    /// Returns the key's bytes.
    pub fn bytes(&self) -> &[u8; KEY_BYTES] {
        &self.0
    }

    /// Returns whether this is the default key, which is public.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl TryFrom<Box<str>> for ControlKey {
    type Error = &'static str;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        let error = "key must be 64 hexadecimal digits";
        if text.len() != 2 * KEY_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error);
        }
        let mut key = [0; KEY_BYTES];
        for (i, byte) in key.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error)?;
        }
        Ok(Self(key))
    }
}

impl From<ControlKey> for Box<str> {
    fn from(key: ControlKey) -> Self {
        let digits: String = key.0.iter().map(|byte| format!("{byte:02x}")).collect();
        digits.into()
    }
}

impl fmt::Debug for ControlKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ControlKey(hidden)")
    }
}
