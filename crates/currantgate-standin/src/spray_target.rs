//! An entry as a next hop of the fabric.

use std::net::SocketAddr;

use currantgate_config::Domain;
use serde::Deserialize;

/// An entry over which the fabric sprays packets.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SprayTarget {
    /// Address on which the entry receives encapsulated packets.
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: Domain,
    /// TCP address for health checks, which accepts connections while the entry
    /// serves; an entry without one always counts as healthy.
    #[serde(default)]
    pub check: Option<SocketAddr>,
}
