//! One service of the site file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::validation::{check_name, check_positive};
use crate::{
    ConfigError, Domain, JoinSettings, LeaveSettings, Protocol, RequestSettings, ServiceId,
    ServiceLimits, service_id,
};

/// A service, which callers reach at an address of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that upstreams announce themselves under.
    pub name: Box<str>,
    /// The address that callers send to; no other service may share it.
    pub address: SocketAddr,
    /// The transport protocol of its callers.
    #[serde(default)]
    pub protocol: Protocol,
    /// The failure domains whose upstreams serve it; all domains of the site when
    /// empty.
    #[serde(default)]
    pub domains: Vec<Domain>,
    /// Settings of how upstreams join.
    #[serde(default)]
    pub join: JoinSettings,
    /// Settings of how upstreams leave.
    #[serde(default)]
    pub leave: LeaveSettings,
    /// The limits on one entry VM.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Settings of how relays handle its requests.
    #[serde(default)]
    pub requests: RequestSettings,
}

impl Service {
    /// Returns the id that replaces the name in messages.
    pub fn id(&self) -> ServiceId {
        service_id(&self.name)
    }

    /// Validates names, addresses and ranges.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        check_name("service.name", &self.name)?;
        let key = |part: &str| format!("service.{}.{part}", self.name);
        if self.address.port() == 0 {
            return Err(ConfigError::value(key("address"), "port 0 can't be called"));
        }
        if self.address.ip().is_unspecified() || self.address.ip().is_multicast() {
            return Err(ConfigError::value(
                key("address"),
                format!("{} is not the address of one service", self.address.ip()),
            ));
        }
        check_positive(key("join.lease_ms"), self.join.lease_ms)?;
        check_positive(key("limits.max_flows"), self.limits.max_flows as u64)?;
        check_positive(key("limits.idle_seconds"), self.limits.idle_seconds)?;
        self.requests.validate(&key("requests"))
    }
}
