//! One service of the site file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Domain, Join, Leave, Limits, Protocol, ServiceId, service_id};

/// One service that callers reach at an address of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that upstreams announce themselves under.
    pub name: Box<str>,
    /// The address that callers send to; no other service may share it.
    pub address: SocketAddr,
    /// The transport protocol that callers speak.
    #[serde(default)]
    pub protocol: Protocol,
    /// The failure domains whose upstreams serve it; all of the site's when empty.
    #[serde(default)]
    pub domains: Vec<Domain>,
    /// How upstreams join.
    #[serde(default)]
    pub join: Join,
    /// How upstreams leave.
    #[serde(default)]
    pub leave: Leave,
    /// How much one entry VM accepts.
    #[serde(default)]
    pub limits: Limits,
}

impl Service {
    /// Returns the id that messages carry in place of the name.
    pub fn id(&self) -> ServiceId {
        service_id(&self.name)
    }
}
