//! Settings of the control daemon and of its clients.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::file::{self, Validate};
use crate::validation::{check_name, check_positive};
use crate::{ConfigError, ControlKey, Domain, Prefix};

/// The settings file of a control VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The VM's id, which must not be reused after the VM's disk is lost.
    pub id: u64,
    /// The failure domain of the VM.
    pub domain: Domain,
    /// The data directory, relative to the settings file.
    pub data: PathBuf,
    /// The TCP address for other control VMs, entries, relays and operators.
    pub listen: SocketAddr,
    /// The TCP address for metrics; none are served without it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The secret key that authenticates all messages.
    #[serde(default)]
    pub key: ControlKey,
    /// The address ranges that may connect, besides the voters.
    #[serde(default)]
    pub allow: Vec<Prefix>,
    /// The maximum number of open connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// The initial voters of the site; later changes are in the log.
    #[serde(default, rename = "voter")]
    pub voters: Vec<ControlVoter>,
    /// On a fan-out VM, the voters that it follows. A fan-out VM does not vote.
    #[serde(default)]
    pub fan_out_of: Vec<SocketAddr>,
}

/// An initial voter of a site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlVoter {
    /// The voter's id.
    pub id: u64,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// The addresses of the control VMs, for entries, relays and operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlServers {
    /// The control VMs, or the fan-out VMs in the client's failure domain.
    pub servers: Vec<SocketAddr>,
    /// The secret key that authenticates all messages.
    #[serde(default)]
    pub key: ControlKey,
}

fn default_max_connections() -> u32 {
    4_096
}

impl ControlSettings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the line or key at fault.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        file::load(path)
    }

    /// Parses and validates the text of a settings file; errors contain `name`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the line or key at fault.
    pub fn parse(text: &str, name: &str) -> Result<Self, ConfigError> {
        file::parse(text, name)
    }

    /// Checks that no earlier voter has the id or the address of voter `i`.
    fn check_voter(&self, i: usize) -> Result<(), ConfigError> {
        let voter = &self.voters[i];
        let earlier = &self.voters[..i];
        if earlier.iter().any(|v| v.id == voter.id) {
            let problem = format!("{} is listed twice", voter.id);
            return Err(ConfigError::value("voter.id", problem));
        }
        if earlier.iter().any(|v| v.address == voter.address) {
            let problem = format!("{} is listed twice", voter.address);
            return Err(ConfigError::value("voter.address", problem));
        }
        Ok(())
    }
}

impl Validate for ControlSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        check_name("domain", &self.domain)?;
        check_positive("max_connections", u64::from(self.max_connections))?;
        if !self.fan_out_of.is_empty() && !self.voters.is_empty() {
            let problem = "a fan-out VM does not vote: leave out the voters";
            return Err(ConfigError::value("fan_out_of", problem));
        }
        (0..self.voters.len()).try_for_each(|i| self.check_voter(i))
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.data = folder.join(&self.data);
    }
}

impl ControlServers {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the line or key at fault.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        file::load(path)
    }
}

impl ControlServers {
    /// Validates the table `key` of a settings file.
    pub(crate) fn validate_table(&self, key: &str) -> Result<(), ConfigError> {
        if self.servers.is_empty() {
            let key = format!("{key}.servers");
            return Err(ConfigError::value(key, "must list at least one"));
        }
        Ok(())
    }
}

impl Validate for ControlServers {
    fn validate(&self) -> Result<(), ConfigError> {
        if self.servers.is_empty() {
            return Err(ConfigError::value("servers", "must list at least one"));
        }
        Ok(())
    }
}
