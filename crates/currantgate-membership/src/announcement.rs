//! What an upstream sends to announce itself.

use std::net::SocketAddr;

use currantgate_config::{Domain, Incarnation};
use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// What an upstream sends, as JSON, to announce itself and to renew its lease.
///
/// It is sent with `PUT /v1/upstreams/{service}/{name}` to an entry of the
/// upstream's own failure domain, at least three times in each lease period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Counts the upstream's starts; it must grow with each.
    pub incarnation: Incarnation,
    /// Where it takes encapsulated packets.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: Domain,
    /// How much it can do at once, relative to others of its service.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// The stage of its life.
    #[serde(default)]
    pub state: UpstreamState,
    /// The share of its capacity in use, in percent, as its own load endpoint
    /// reports it.
    ///
    /// It may lag or be wrong, so it is a hint only: it is kept at the entry
    /// that took the announcement, is never spread and decides nothing here.
    #[serde(default)]
    pub load: Option<u32>,
}

const fn one_slot() -> u32 {
    1
}
