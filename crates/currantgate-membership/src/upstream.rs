//! Upstream of a service.

use std::net::SocketAddr;

use currantgate_config::{Domain, Incarnation, ServiceId, UpstreamId, upstream_id};
use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// One incarnation of one upstream, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name, unique within the service.
    pub name: Box<str>,
    /// Incarnation, which grows with each start.
    pub incarnation: Incarnation,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address at which it receives encapsulated packets.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub domain: Domain,
    /// Concurrent capacity, relative to others of its service.
    pub slots: u32,
    /// State that it announced.
    pub state: UpstreamState,
}

impl Upstream {
    /// Returns the id of this incarnation.
    pub fn id(&self) -> UpstreamId {
        upstream_id(self.service, &self.name, self.incarnation)
    }
}
