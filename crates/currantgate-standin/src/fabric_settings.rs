//! Settings of a stand-in fabric.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::Faults;
use crate::spray_target::SprayTarget;
use currantgate_config::{ConfigError, Validate};

/// Settings of a stand-in fabric.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricSettings {
    /// Address for encapsulated packets from callers; port 0 selects a free port.
    pub callers: SocketAddr,
    /// Address for encapsulated packets from entries; port 0 selects a free port.
    pub answers: SocketAddr,
    /// The entries that packets are sprayed over.
    #[serde(rename = "entry")]
    pub entries: Vec<SprayTarget>,
    /// Faults that are injected in both directions.
    pub faults: Faults,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for FabricSettings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any,
            answers: any,
            entries: Vec::new(),
            faults: Faults::default(),
            seed: 0,
        }
    }
}

impl Validate for FabricSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        for (i, entry) in self.entries.iter().enumerate() {
            let is_same_address = |other: &SprayTarget| other.address == entry.address;
            if self.entries[..i].iter().any(is_same_address) {
                return Err(ConfigError::value(
                    "entry.address",
                    format!("{} is listed twice", entry.address),
                ));
            }
        }
        self.faults.validate()
    }
}
