//! What a stand-in fabric is told at the start.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::Faults;
use crate::spray_target::SprayTarget;
use currantgate_config::{ConfigError, Validate};

/// What a stand-in fabric is told at the start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricSettings {
    /// Where callers send encapsulated packets; port 0 lets the system choose.
    pub callers: SocketAddr,
    /// Where entries send encapsulated answers; port 0 lets the system choose.
    pub answers: SocketAddr,
    /// The entries that packets are sprayed over.
    #[serde(rename = "entry")]
    pub entries: Vec<SprayTarget>,
    /// What it does to packets of both directions.
    pub faults: Faults,
    /// Seeds all random choices.
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
            let same = |other: &SprayTarget| other.address == entry.address;
            if self.entries[..i].iter().any(same) {
                return Err(ConfigError::value(
                    "entry.address",
                    format!("{} is listed twice", entry.address),
                ));
            }
        }
        self.faults.validate()
    }
}
