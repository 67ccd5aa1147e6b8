//! Settings of how upstreams leave a service.

use serde::{Deserialize, Serialize};

/// Settings of how an upstream leaves a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
// Keeps the name of the type in error texts that are sent to clients.
#[serde(expecting = "struct Leave")]
pub struct LeaveSettings {
    /// The time in milliseconds after which a draining upstream gets no new flows.
    pub drain_delay_ms: u64,
}

impl Default for LeaveSettings {
    fn default() -> Self {
        Self {
            drain_delay_ms: 3_000,
        }
    }
}
