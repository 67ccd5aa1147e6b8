//! Settings of the relay daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::file::{self, Validate};
use crate::validation::{check_name, check_positive};
use crate::{ConfigError, ControlServers, Domain};

/// The settings file of a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The failure domain of the VM.
    pub domain: Domain,
    /// The site file, relative to the settings file.
    pub site: PathBuf,
    /// The control VMs that distribute accepted revisions of the site file;
    /// without it, the relay uses only the site file above.
    #[serde(default)]
    pub control: Option<ControlServers>,
    /// The directory that stores the newest revision, if the VM has a disk;
    /// relative to the settings file.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// The addresses that the relay listens on besides those of its services.
    #[serde(default)]
    pub listen: RelayListen,
    /// Services with a listening address other than the service's address.
    #[serde(default, rename = "serve")]
    pub serves: Vec<RelayedService>,
    /// The dispatching of requests.
    #[serde(default)]
    pub dispatch: DispatchSettings,
}

/// The addresses that a relay listens on besides those of its services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayListen {
    /// The TCP address for announcements from upstreams.
    pub announce: SocketAddr,
    /// The TCP address for metrics.
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

/// The listening address of a relay for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayedService {
    /// The service's name.
    pub service: Box<str>,
    /// The address that the relay listens on.
    pub address: SocketAddr,
}

/// Settings of how a relay dispatches requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    /// The maximum number of requests of a service that wait for a slot.
    pub max_queued: usize,
    /// The retry budget: the number of retries for each first attempt; 0.1 allows
    /// one retry in ten requests.
    pub retry_share: f64,
    /// The maximum length in bytes of a request body that is kept for retries.
    pub replay_bytes: usize,
    /// The time in milliseconds after which a caller that reads nothing of its
    /// answer is timed out.
    pub stall_ms: u64,
    /// The idle time in milliseconds after which a PING is sent on a connection to
    /// an upstream.
    pub ping_after_ms: u64,
    /// The timeout in milliseconds of an upstream's answer to a PING.
    pub ping_timeout_ms: u64,
    /// The time in milliseconds that running requests have to finish when the
    /// relay stops.
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
