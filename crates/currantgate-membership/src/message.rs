//! What entries tell each other about who is alive.

use serde::{Deserialize, Serialize};

use crate::Upstream;

/// What entries tell each other about who is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive; it gives its upstreams' leases another period.
    Heartbeat {
        /// Upstreams whose leases the sender holds.
        upstreams: Vec<Upstream>,
    },
}
