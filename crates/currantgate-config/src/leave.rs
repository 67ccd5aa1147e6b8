//! How upstreams leave a service.

use serde::{Deserialize, Serialize};

/// How an upstream that drains is taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaveSettings {
    /// Milliseconds within which a draining upstream gets its last new flow.
    pub drain_delay_ms: u64,
}

impl Default for LeaveSettings {
    fn default() -> Self {
        Self {
            drain_delay_ms: 3_000,
        }
    }
}
