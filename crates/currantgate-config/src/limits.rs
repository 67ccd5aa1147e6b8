//! Limits of a service.

use serde::{Deserialize, Serialize};

/// The limits of a service on one entry VM, which refuses new flows beyond them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
// Keeps the name of the type in error texts that are sent to clients.
#[serde(expecting = "struct Limits")]
pub struct ServiceLimits {
    /// The maximum number of open flows of the service on one entry.
    pub max_flows: usize,
    /// The idle time in seconds, in both directions, after which a flow is removed.
    pub idle_seconds: u64,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            max_flows: 400_000,
            idle_seconds: 3_600,
        }
    }
}
