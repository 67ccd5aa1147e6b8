//! What a stand-in caller is told at the start.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;

use currantgate_config::{ConfigError, Validate};

/// The most flows that one caller opens: each has a port of its own.
pub(crate) const MAX_FLOWS: u32 = 60_000;

/// The most milliseconds between two chunks, well below the silence after
/// which a caller gives a flow up.
const MAX_CHUNK_MS: u64 = 5_000;

/// What a stand-in caller is told at the start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// The address that its packets come from.
    pub ip: Ipv4Addr,
    /// Where the fabric takes its packets.
    pub fabric: SocketAddr,
    /// The service it calls.
    pub service: Box<str>,
    /// The service's address.
    pub service_address: SocketAddrV4,
    /// Flows it opens in a second.
    pub flows_per_second: u32,
    /// Flows it opens in all; at most 60,000.
    pub flows: u32,
    /// Requests that each flow sends before it ends.
    pub requests: u32,
    /// Milliseconds between an answer and the next request.
    pub pause_ms: u64,
    /// Each flow of this many asks for a download and then only listens; none
    /// when it is 0.
    pub listen_every: u32,
    /// Chunks of a download.
    pub chunks: u32,
    /// Milliseconds between the chunks of a download.
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
