//! What a stand-in upstream is told at the start.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use currantgate_config::Incarnation;
use serde::Deserialize;

use currantgate_config::{ConfigError, Validate};

/// What a stand-in upstream is told at the start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The service it serves.
    pub service: Box<str>,
    /// Its own name.
    pub name: Box<str>,
    /// Counts its starts; the time of the start in Unix milliseconds when it is 0.
    pub incarnation: Incarnation,
    /// The failure domain it stands in.
    pub domain: Box<str>,
    /// The service's address, to which it answers.
    pub service_address: SocketAddrV4,
    /// The address it takes encapsulated packets on; port 0 lets the system choose.
    pub listen: SocketAddrV4,
    /// Where the entries of its domain take announcements.
    pub announce: Vec<SocketAddr>,
    /// Where entries take encapsulated answers. Each answer goes at random to
    /// one that was heard from lately, or to one of these when none was.
    pub entries: Vec<SocketAddr>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Milliseconds of work that a request takes.
    pub service_ms: u64,
    /// Milliseconds after the start during which it is slow and says so.
    pub warmup_ms: u64,
    /// How many times longer a request takes right after the start.
    pub cold_slowdown: u32,
    /// The most milliseconds that it waits for its flows to end when it leaves.
    pub leave_ms: u64,
    /// Seeds all random choices.
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
    /// Returns what each answer begins with: who gave it.
    pub(crate) fn signature(&self) -> String {
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
