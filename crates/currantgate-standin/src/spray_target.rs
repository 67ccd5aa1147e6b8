//! One entry as the fabric knows it.

use std::net::SocketAddr;

use currantgate_config::Domain;
use serde::Deserialize;

/// One entry as the fabric knows it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SprayTarget {
    /// Where the entry takes encapsulated packets.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: Domain,
    /// A TCP address that accepts connections while the entry serves; an
    /// entry without one is always sprayed to.
    #[serde(default)]
    pub check: Option<SocketAddr>,
}
