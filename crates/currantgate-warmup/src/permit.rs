//! Permits to place flows on cold upstreams.

use serde::{Deserialize, Serialize};

/// Identifies an upstream; all entries derive the same key of the same upstream.
pub type UpstreamKey = u32;

/// A request of an entry to place flows on a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream.
    pub key: UpstreamKey,
    /// Most new flows that the upstream may get in a second from all entries together.
    pub limit: u16,
    /// Number of flows that the entry expects to place there.
    pub count: u8,
}

/// A permit to place flows on a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The upstream.
    pub key: UpstreamKey,
    /// Number of flows.
    pub count: u8,
}
