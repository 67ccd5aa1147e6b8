//! Limits of a service.

use serde::{Deserialize, Serialize};

/// How much of a service one entry VM accepts before it refuses new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// The most open flows of the service that one entry keeps.
    pub max_flows: usize,
    /// Seconds of silence in both directions after which a flow is let go.
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
