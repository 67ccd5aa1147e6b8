//! Settings of a stand-in caller.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;

use currantgate_config::{ConfigError, Validate};

/// Maximum number of flows of a caller: each needs its own source port.
pub(crate) const MAX_FLOWS: u32 = 60_000;

/// Maximum interval between two chunks in milliseconds, well below the idle
/// timeout of a caller's flow.
const MAX_CHUNK_MS: u64 = 5_000;

/// Settings of a stand-in caller.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Source address of its packets.
    pub ip: Ipv4Addr,
    /// Address on which the fabric receives callers' packets.
    pub fabric: SocketAddr,
    /// Name of the service it calls.
    pub service: Box<str>,
    /// Address of the service.
    pub service_address: SocketAddrV4,
    /// Flows opened per second.
    pub flows_per_second: u32,
    /// Total number of flows; at most 60,000.
    pub flows: u32,
    /// Requests per flow.
    pub requests: u32,
    /// Pause between a response and the next request, in milliseconds.
    pub pause_ms: u64,
    /// Every how many flows one requests a download and then only receives; 0
    /// for no downloads.
    pub listen_every: u32,
    /// Chunks per download.
    pub chunks: u32,
    /// Interval between the chunks of a download, in milliseconds.
    pub chunk_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            ip: Ipv4Addr::LOCALHOST,
            fabric: ([127, 0, 0, 1], 0).into(),
            service: "".into(),
            service_address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            flows_per_second: 100,
            flows: 100,
            requests: 10,
            pause_ms: 1_000,
            listen_every: 0,
            chunks: 20,
            chunk_ms: 250,
        }
    }
}

impl Validate for CallerSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        if self.service.is_empty() {
            return Err(ConfigError::value("service", "must not be empty"));
        }
        if self.service_address.port() == 0 {
            return Err(ConfigError::value("service_address", "must have a port"));
        }
        if self.fabric.port() == 0 {
            return Err(ConfigError::value("fabric", "must have a port"));
        }
        if self.requests == 0 {
            return Err(ConfigError::value("requests", "must be at least 1"));
        }
        if self.chunks == 0 {
            return Err(ConfigError::value("chunks", "must be at least 1"));
        }
        if self.chunk_ms > MAX_CHUNK_MS {
            return Err(ConfigError::value(
                "chunk_ms",
                format!("must be at most {MAX_CHUNK_MS}"),
            ));
        }
        if self.flows > MAX_FLOWS {
            return Err(ConfigError::value(
                "flows",
                format!("must be at most {MAX_FLOWS}"),
            ));
        }
        Ok(())
    }
}
