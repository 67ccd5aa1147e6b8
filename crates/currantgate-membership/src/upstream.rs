//! One upstream as the entries know it.

use std::net::SocketAddr;

use currantgate_config::{Domain, Incarnation, ServiceId, UpstreamId, upstream_id};
use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// One incarnation of one upstream, as the entries know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream's own name, unique within its service.
    pub name: Box<str>,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// The service it serves.
    pub service: ServiceId,
    /// Where it takes encapsulated packets.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: Domain,
    /// How much it can do at once, relative to others of its service.
    pub slots: u32,
    /// The stage of its life.
    pub state: UpstreamState,
}

impl Upstream {
    /// Returns the id of this incarnation.
    pub fn id(&self) -> UpstreamId {
        upstream_id(self.service, &self.name, self.incarnation)
    }
}
