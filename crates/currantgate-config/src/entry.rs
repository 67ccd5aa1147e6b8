//! Settings of the entry daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::file::{self, Validate};
use crate::validation::{check_name, check_positive};
use crate::{ConfigError, ControlServers, Domain, EntryId, HashKey};

/// Maximum number of buckets of a service.
const MAX_BUCKETS: u32 = 65_536;

/// The packet length in bytes that every IPv4 host must accept.
const MIN_INNER_MTU_BYTES: u16 = 576;

/// The settings file of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's id, which must be unique among the entries of the site.
    pub id: EntryId,
    /// The failure domain of the VM.
    pub domain: Domain,
    /// The site file, relative to the settings file.
    pub site: PathBuf,
    /// The addresses that the entry listens on.
    pub listen: EntryListen,
    /// The address of the fabric that encapsulated answers to callers are sent to.
    pub fabric: SocketAddr,
    /// The control VMs that distribute accepted revisions of the site file;
    /// without it, the entry uses only the site file above.
    #[serde(default)]
    pub control: Option<ControlServers>,
    /// The directory that stores the newest revision, if the VM has a disk;
    /// relative to the settings file.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The other entries.
    #[serde(default, rename = "peer")]
    pub peers: Vec<Peer>,
    /// The limit of the control traffic that the entry sends.
    #[serde(default)]
    pub budget: ControlTrafficBudget,
    /// The hashing and distribution of flows.
    #[serde(default)]
    pub flow: FlowSettings,
}

/// The addresses that an entry listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryListen {
    /// The UDP address for encapsulated packets of callers from the fabric.
    pub fabric: SocketAddr,
    /// The UDP address for encapsulated answers from upstreams.
    pub tunnel: SocketAddr,
    /// The UDP address for messages and forwarded packets from other entries.
    pub peer: SocketAddr,
    /// The TCP address for announcements from upstreams.
    pub announce: SocketAddr,
    /// The TCP address for metrics.
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
    /// The failure domain of the other entry.
    pub domain: Domain,
    /// Its UDP address for messages and forwarded packets.
    pub address: SocketAddr,
}

/// The limit of the control traffic that an entry sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlTrafficBudget {
    /// The rate in bytes per second, averaged over the burst; includes UDP and IP
    /// headers.
    pub bytes_per_second: u32,
    /// The maximum burst in bytes after an idle period.
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

/// The hashing and distribution of flows; must be the same on all entries of a
/// site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowSettings {
    /// The secret key of the flow hash, as 32 hexadecimal digits.
    pub hash_key: HashKey,
    /// The number of buckets of each service; a power of two.
    pub buckets: u32,
    /// The maximum number of open flows of all services together.
    pub max_flows: usize,
    /// The maximum length in bytes of a caller's packet, without the encapsulation.
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
    /// Reads and validates the settings file at `path`.
    ///
    /// The paths in the file are relative to the file's folder.
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

    /// Checks that peer `i` has an id and an address of its own.
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

/// Checks that no two keys have the same address. Port 0 may occur repeatedly,
/// since the system replaces it by a free port.
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
