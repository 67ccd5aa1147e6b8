//! Announcement of an upstream.

use std::net::SocketAddr;

use currantgate_config::{Domain, Incarnation};
use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// Announcement with which an upstream registers and renews its lease, as JSON.
///
/// It is sent with `PUT /v1/upstreams/{service}/{name}` to an entry of the
/// upstream's own failure domain, at least three times in each lease period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Incarnation, which must grow with each start of the upstream.
    pub incarnation: Incarnation,
    /// Address at which it receives encapsulated packets.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub domain: Domain,
    /// Concurrent capacity, relative to others of its service.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// State of the upstream.
    #[serde(default)]
    pub state: UpstreamState,
    /// Load in percent of its capacity, as reported by its own load endpoint.
    ///
    /// It may be outdated or wrong, so it is only a hint: the entry that accepted the
    /// announcement keeps it, does not replicate it and bases no decision of this
    /// crate on it.
    #[serde(default)]
    pub load: Option<u32>,
}

const fn one_slot() -> u32 {
    1
}
