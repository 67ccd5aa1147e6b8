//! Settings of the entry daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::check::{check_name, check_positive};
use crate::file::{self, Validate};
use crate::{ConfigError, ControlServers, Domain, EntryId, HashKey};

/// The most buckets that a service can have.
const MAX_BUCKETS: u32 = 65_536;

/// The smallest packet that every IPv4 host must take whole, in bytes.
const MIN_INNER_MTU_BYTES: u16 = 576;

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
    pub listen: EntryListen,
    /// Where encapsulated answers go: the fabric's side towards callers.
    pub fabric: SocketAddr,
    /// Where accepted revisions of the site file come from; without it the
    /// entry keeps to the site file above.
    #[serde(default)]
    pub control: Option<ControlServers>,
    /// The folder that the newest revision is kept in, if the VM has a disk;
    /// relative to the settings file.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The other entries.
    #[serde(default, rename = "peer")]
    pub peers: Vec<Peer>,
    /// How much control traffic the entry may send.
    #[serde(default)]
    pub budget: ControlTrafficBudget,
    /// How flows are hashed and spread.
    #[serde(default)]
    pub flow: FlowSettings,
}

/// Where an entry listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryListen {
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

impl Default for EntryListen {
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
pub struct ControlTrafficBudget {
    /// Bytes a second, averaged over the burst; UDP and IP headers included.
    pub bytes_per_second: u32,
    /// Bytes that may be sent at once after a quiet spell.
    pub burst_bytes: u32,
}

impl Default for ControlTrafficBudget {
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
    pub hash_key: HashKey,
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
            hash_key: HashKey::default(),
            buckets: 1_024,
            max_flows: 1_000_000,
            inner_mtu: 1_400,
        }
    }
}

impl EntrySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// The site file's path is taken relative to the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        file::load(path)
    }

    /// Reads and checks the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line or key at fault.
    pub fn parse(text: &str, name: &str) -> Result<Self, ConfigError> {
        file::parse(text, name)
    }

    fn check_peer(&self, i: usize) -> Result<(), ConfigError> {
        let peer = &self.peers[i];
        let earlier = &self.peers[..i];
        if peer.id == self.id {
            return Err(ConfigError::value(
                "peer.id",
                format!("{} is this entry's own id", peer.id),
            ));
        }
        if earlier.iter().any(|p| p.id == peer.id) {
            return Err(ConfigError::value(
                "peer.id",
                format!("{} is listed twice", peer.id),
            ));
        }
        if earlier.iter().any(|p| p.address == peer.address) || peer.address == self.listen.peer {
            return Err(ConfigError::value(
                "peer.address",
                format!("{} is listed twice", peer.address),
            ));
        }
        Ok(())
    }
}

impl Validate for EntrySettings {
    fn validate(&self) -> Result<(), ConfigError> {
        check_name("domain", &self.domain)?;
        if let Some(control) = &self.control {
            control.validate_table("control")?;
        }
        self.listen.validate()?;
        self.budget.validate()?;
        self.flow.validate()?;
        (0..self.peers.len()).try_for_each(|i| self.check_peer(i))
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.site = folder.join(&self.site);
        self.data = self.data.take().map(|data| folder.join(data));
    }
}

impl EntryListen {
    fn validate(&self) -> Result<(), ConfigError> {
        let udp = [
            ("listen.fabric", self.fabric),
            ("listen.tunnel", self.tunnel),
            ("listen.peer", self.peer),
        ];
        let tcp = [
            ("listen.announce", self.announce),
            ("listen.metrics", self.metrics),
        ];
        check_distinct(&udp)?;
        check_distinct(&tcp)
    }
}

/// Checks that no two keys name the same address; port 0 is chosen anew each time.
fn check_distinct(addresses: &[(&'static str, SocketAddr)]) -> Result<(), ConfigError> {
    for (i, (key, address)) in addresses.iter().enumerate() {
        let taken = addresses[..i].iter().find(|(_, a)| a == address);
        if let Some((other, _)) = taken.filter(|_| address.port() != 0) {
            return Err(ConfigError::value(
                *key,
                format!("{address} is taken by `{other}`"),
            ));
        }
    }
    Ok(())
}

impl ControlTrafficBudget {
    fn validate(&self) -> Result<(), ConfigError> {
        check_positive("budget.bytes_per_second", u64::from(self.bytes_per_second))?;
        check_positive("budget.burst_bytes", u64::from(self.burst_bytes))
    }
}

impl FlowSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        if !self.buckets.is_power_of_two() || self.buckets > MAX_BUCKETS {
            return Err(ConfigError::value(
                "flow.buckets",
                format!("must be a power of two up to {MAX_BUCKETS}"),
            ));
        }
        if self.inner_mtu < MIN_INNER_MTU_BYTES {
            return Err(ConfigError::value(
                "flow.inner_mtu",
                format!("must be at least {MIN_INNER_MTU_BYTES} bytes"),
            ));
        }
        check_positive("flow.max_flows", self.max_flows as u64)
    }
}
