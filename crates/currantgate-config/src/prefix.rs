//! Ranges of IP addresses.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr};

use serde::{Deserialize, Serialize};

/// A range of IP addresses, written as `10.0.0.0/8` or as one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Prefix {
    address: IpAddr,
    bits: u8,
}

impl Prefix {
    /// Returns the range of all IPv4 addresses.
    pub fn all_ipv4() -> Self {
        Self {
            address: Ipv4Addr::UNSPECIFIED.into(),
            bits: 0,
        }
    }

    /// Returns whether `address` is in the range.
    pub fn contains(&self, address: IpAddr) -> bool {
        match (self.address, address) {
            (IpAddr::V4(a), IpAddr::V4(b)) => {
                has_same_prefix(a.to_bits().into(), b.to_bits().into(), 32 - self.bits)
            }
            (IpAddr::V6(a), IpAddr::V6(b)) => {
                has_same_prefix(a.to_bits(), b.to_bits(), 128 - self.bits)
            }
            _ => false,
        }
    }
}

/// Returns whether two addresses are equal without their last `suffix_bits`.
fn has_same_prefix(a: u128, b: u128, suffix_bits: u8) -> bool {
    let shift = u32::from(suffix_bits);
    a.checked_shr(shift).unwrap_or(0) == b.checked_shr(shift).unwrap_or(0)
}

impl TryFrom<Box<str>> for Prefix {
    type Error = &'static str;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        let error = "must be an IP address, or one with `/` and its number of bits";
        let (address, bits) = text.split_once('/').unwrap_or((&text, ""));
        let address: IpAddr = address.parse().map_err(|_| error)?;
        let max_bits: u8 = if address.is_ipv4() { 32 } else { 128 };
        let bits = match bits {
            "" if !text.contains('/') => max_bits,
            bits => bits.parse().map_err(|_| error)?,
        };
        if bits > max_bits {
            return Err(error);
        }
        Ok(Self { address, bits })
    }
}

impl From<Prefix> for Box<str> {
    fn from(prefix: Prefix) -> Self {
        prefix.to_string().into()
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.bits)
    }
}
