//! Settings of the relay daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::check::{check_name, check_positive};
use crate::file::{self, Validate};
use crate::{ConfigError, ControlServers, Domain};

/// What one relay knows of itself when it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The failure domain the VM stands in.
    pub domain: Domain,
    /// The site file, relative to the settings file.
    pub site: PathBuf,
    /// Where accepted revisions of the site file come from; without it the
    /// relay keeps to the site file above.
    #[serde(default)]
    pub control: Option<ControlServers>,
    /// The folder that the newest revision is kept in, if the VM has a disk;
    /// relative to the settings file.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Where the relay listens besides the addresses of its services.
    #[serde(default)]
    pub listen: RelayListen,
    /// Where it takes a service's requests, in place of the service's address.
    #[serde(default, rename = "serve")]
    pub serves: Vec<RelayedService>,
    /// How requests are dispatched.
    #[serde(default)]
    pub dispatch: DispatchSettings,
}

/// Where a relay listens besides the addresses of its services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayListen {
    /// TCP: announcements from upstreams.
    pub announce: SocketAddr,
    /// TCP: metrics for the operators.
    pub metrics: SocketAddr,
}

impl Default for RelayListen {
    fn default() -> Self {
        let loopback = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            announce: loopback(5568),
            metrics: loopback(5569),
        }
    }
}

/// Where a relay takes the requests of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayedService {
    /// The service's name.
    pub service: Box<str>,
    /// The address that the relay listens on.
    pub address: SocketAddr,
}

/// How a relay dispatches requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    /// The most requests of one service that wait for a slot.
    pub max_queued: usize,
    /// Retries that each first attempt pays for; 0.1 allows one in ten.
    pub retry_share: f64,
    /// The largest request body, in bytes, that is kept to be sent again.
    pub replay_bytes: usize,
    /// Milliseconds for which a caller may take nothing of its answer.
    pub stall_ms: u64,
    /// Milliseconds of silence after which an upstream's connection is pinged.
    pub ping_after_ms: u64,
    /// Milliseconds that an upstream may take to answer a PING.
    pub ping_timeout_ms: u64,
    /// Milliseconds that running requests get to end when the relay stops.
    pub drain_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            max_queued: 1_024,
            retry_share: 0.1,
            replay_bytes: 65_536,
            stall_ms: 30_000,
            ping_after_ms: 1_000,
            ping_timeout_ms: 1_000,
            drain_ms: 60_000,
        }
    }
}

impl RelaySettings {
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
}

impl Validate for RelaySettings {
    fn validate(&self) -> Result<(), ConfigError> {
        check_name("domain", &self.domain)?;
        if let Some(control) = &self.control {
            control.validate_table("control")?;
        }
        for (i, serve) in self.serves.iter().enumerate() {
            if self.serves[..i].iter().any(|s| s.service == serve.service) {
                return Err(ConfigError::value(
                    "serve.service",
                    format!("`{}` is listed twice", serve.service),
                ));
            }
        }
        self.dispatch.validate()
    }

    fn resolve_paths(&mut self, folder: &Path) {
        self.site = folder.join(&self.site);
        self.data = self.data.take().map(|data| folder.join(data));
    }
}

impl DispatchSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        if !(0.0..=1.0).contains(&self.retry_share) {
            return Err(ConfigError::value(
                "dispatch.retry_share",
                "must be between 0 and 1",
            ));
        }
        check_positive("dispatch.max_queued", self.max_queued as u64)?;
        check_positive("dispatch.stall_ms", self.stall_ms)?;
        check_positive("dispatch.ping_after_ms", self.ping_after_ms)?;
        check_positive("dispatch.ping_timeout_ms", self.ping_timeout_ms)
    }
}
