//! Settings of how upstreams join a service.

use serde::{Deserialize, Serialize};

/// Settings of how an upstream joins a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
// Keeps the name of the type in error texts that are sent to clients.
#[serde(expecting = "struct Join")]
pub struct JoinSettings {
    /// The time in milliseconds over which the share of a new upstream grows to
    /// its full size.
    pub warmup_ms: u64,
    /// The duration of the lease of an announcement in milliseconds.
    pub lease_ms: u64,
    /// The time in milliseconds by which leases are extended when most of those of
    /// a service or failure domain expire at once, unless other entries confirm
    /// the expiry.
    pub grace_ms: u64,
}

impl Default for JoinSettings {
    fn default() -> Self {
        Self {
            warmup_ms: 10_000,
            lease_ms: 6_000,
            grace_ms: 6_000,
        }
    }
}
