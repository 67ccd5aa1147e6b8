//! Settings of a stand-in upstream.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use currantgate_config::Incarnation;
use serde::Deserialize;

use currantgate_config::{ConfigError, Validate};

/// Settings of a stand-in upstream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name of its service.
    pub service: Box<str>,
    /// Name of the upstream.
    pub name: Box<str>,
    /// Incarnation number at the start; 0 for the current Unix time in milliseconds.
    pub incarnation: Incarnation,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Address of the service, for which it accepts flows.
    pub service_address: SocketAddrV4,
    /// Address for encapsulated packets; port 0 selects a free port.
    pub listen: SocketAddrV4,
    /// Announcement addresses of the entries of its failure domain.
    pub announce: Vec<SocketAddr>,
    /// Addresses of entries for encapsulated packets to callers. Each packet goes
    /// to a random entry from which a packet was received recently, or to one of
    /// these if there is none.
    pub entries: Vec<SocketAddr>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Duration of a request, in milliseconds.
    pub service_ms: u64,
    /// Warm-up time after the start, in milliseconds, during which requests are
    /// slower and the announced state is warming.
    pub warmup_ms: u64,
    /// Factor by which a request takes longer right after the start.
    pub cold_slowdown: u32,
    /// Maximum time to wait for open flows to end when it leaves, in milliseconds.
    pub leave_ms: u64,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            service: "".into(),
            name: "".into(),
            incarnation: 0,
            domain: "".into(),
            service_address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            announce: Vec::new(),
            entries: Vec::new(),
            slots: 3,
            service_ms: 0,
            warmup_ms: 0,
            cold_slowdown: 1,
            leave_ms: 10_000,
            seed: 0,
        }
    }
}

impl UpstreamSettings {
    /// Returns the prefix of each response, which identifies the sender.
    pub(crate) fn response_prefix(&self) -> String {
        format!("{}/{} ", self.service, self.name)
    }
}

impl Validate for UpstreamSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        let required = [
            ("service", &self.service),
            ("name", &self.name),
            ("domain", &self.domain),
        ];
        for (key, value) in required {
            if value.is_empty() {
                return Err(ConfigError::value(key, "must not be empty"));
            }
        }
        if self.service_address.port() == 0 {
            return Err(ConfigError::value("service_address", "must have a port"));
        }
        if self.slots == 0 {
            return Err(ConfigError::value("slots", "must be at least 1"));
        }
        if self.cold_slowdown == 0 {
            return Err(ConfigError::value("cold_slowdown", "must be at least 1"));
        }
        if self.announce.is_empty() {
            return Err(ConfigError::value(
                "announce",
                "must name at least one entry",
            ));
        }
        Ok(())
    }
}
