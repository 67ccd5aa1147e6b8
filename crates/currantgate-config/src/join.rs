//! How upstreams join a service.

use serde::{Deserialize, Serialize};

/// How an upstream that announces itself is brought into service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JoinSettings {
    /// Milliseconds over which a new upstream's share grows to its full size.
    pub warmup_ms: u64,
    /// Milliseconds that an announcement holds without being renewed.
    pub lease_ms: u64,
    /// Milliseconds that leases hold on for when most of a service or failure
    /// domain seem to run out at once, unless other entries confirm it.
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
