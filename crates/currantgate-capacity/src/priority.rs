//! Priority of flows under overload.

use serde::{Deserialize, Serialize};

/// Priority of a flow under overload; smaller values are admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority {
    /// Whether the flow's requests are idempotent. Their callers can retry after any
    /// outcome, so that other requests are admitted first.
    pub is_idempotent: bool,
    /// Level set by the operator; 0 is the highest.
    pub level: u32,
}
