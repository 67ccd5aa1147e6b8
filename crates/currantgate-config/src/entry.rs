//! Settings of the entry daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::{ConfigError, Domain, EntryId};

/// What one entry VM knows of itself when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's id; no other entry of the site may have it.
    pub id: EntryId,
    /// The failure domain the VM stands in.
    pub domain: Domain,
    /// The site file, relative to the settings file.
    pub site: PathBuf,
    /// Where the entry listens.
    pub listen: Listen,
    /// Where encapsulated answers go: the fabric's side towards callers.
    pub fabric: SocketAddr,
    /// The other entries.
    #[serde(default, rename = "peer")]
    pub peers: Vec<Peer>,
    /// How much control traffic the entry may send.
    #[serde(default)]
    pub budget: Budget,
    /// How flows are hashed and spread.
    #[serde(default)]
    pub flow: FlowSettings,
}

/// Where an entry listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// UDP: encapsulated packets from callers, by way of the fabric.
    pub fabric: SocketAddr,
    /// UDP: encapsulated answers from upstreams.
    pub tunnel: SocketAddr,
    /// UDP: messages and forwarded packets from other entries.
    pub peer: SocketAddr,
    /// TCP: announcements from upstreams.
    pub announce: SocketAddr,
    /// TCP: metrics for the operators.
    pub metrics: SocketAddr,
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            fabric: loopback(5555),
            tunnel: loopback(5556),
            peer: loopback(5557),
            announce: loopback(5558),
            metrics: loopback(5559),
        }
    }
}

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The other entry's id.
    pub id: EntryId,
    /// The failure domain it stands in.
    pub domain: Domain,
    /// Where it takes messages and forwarded packets.
    pub address: SocketAddr,
}

/// How much control traffic an entry may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// Bytes a second, averaged over the burst; UDP and IP headers included.
    pub bytes_per_second: u32,
    /// Bytes that may be sent at once after a quiet spell.
    pub burst_bytes: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            bytes_per_second: 4_096,
            burst_bytes: 16_384,
        }
    }
}

/// How an entry hashes and spreads flows; alike on all entries of a site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowSettings {
    /// The secret that flow hashes are keyed with, as 32 hexadecimal digits.
    pub hash_key: Box<str>,
    /// Buckets for each service; a power of two.
    pub buckets: u32,
    /// The most open flows that the entry keeps for all services together.
    pub max_flows: usize,
    /// The largest caller's packet, in bytes, that fits the encapsulation.
    pub inner_mtu: u16,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            hash_key: "00000000000000000000000000000000".into(),
            buckets: 1_024,
            max_flows: 1_000_000,
            inner_mtu: 1_400,
        }
    }
}

impl FlowSettings {
    /// Returns the hash key as the number it spells.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not 32 hexadecimal digits.
    pub fn key(&self) -> Result<u128, ConfigError> {
        let problem = "must be 32 hexadecimal digits";
        if self.hash_key.len() != 32 {
            return Err(ConfigError::value("flow.hash_key", problem));
        }
        u128::from_str_radix(&self.hash_key, 16)
            .map_err(|_| ConfigError::value("flow.hash_key", problem))
    }
}

impl EntrySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            file: name.as_str().into(),
            source,
        })?;
        let mut settings = Self::parse(&text, &name)?;
        if let Some(folder) = path.parent() {
            settings.site = folder.join(&settings.site);
        }
        Ok(settings)
    }

    /// Reads and checks the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    pub fn parse(text: &str, name: &str) -> Result<Self, ConfigError> {
        let settings: Self = toml::from_str(text).map_err(|source| ConfigError::Syntax {
            file: name.into(),
            source: Box::new(source),
        })?;
        settings.check().map_err(|e| e.in_file(name))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigError> {
        self.flow.key()?;
        if !self.flow.buckets.is_power_of_two() {
            return Err(ConfigError::value("flow.buckets", "must be a power of two"));
        }
        for (i, peer) in self.peers.iter().enumerate() {
            if peer.id == self.id {
                return Err(ConfigError::value(
                    "peer.id",
                    format!("{} is this entry's own id", peer.id),
                ));
            }
            if self.peers[..i].iter().any(|p| p.id == peer.id) {
                return Err(ConfigError::value(
                    "peer.id",
                    format!("{} is listed twice", peer.id),
                ));
            }
            if self.peers[..i].iter().any(|p| p.address == peer.address) {
                return Err(ConfigError::value(
                    "peer.address",
                    format!("{} is listed twice", peer.address),
                ));
            }
        }
        Ok(())
    }
}
