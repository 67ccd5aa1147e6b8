//! Settings of token routing.

use std::time::Duration;

/// Settings of a [`crate::TokenRouter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenSettings {
    /// The most flows whose state is kept; further ones are routed without. A
    /// record is about 100 bytes, so that this many are a few megabytes.
    pub max_flows: usize,
    /// Time after a first packet in which a copy goes to the same upstream:
    /// below the time after which callers repeat it, so that only copies that
    /// were made on the way count.
    pub duplicate_window: Duration,
    /// How long after its caller's timeout a flow is counted at its upstream.
    pub expiry_grace: Duration,
    /// The key that chooses among the services of a route; alike on all
    /// entries of a site.
    pub hash_key: [u8; 16],
}

impl Default for TokenSettings {
    fn default() -> Self {
        Self {
            max_flows: 50_000,
            duplicate_window: Duration::from_millis(120),
            expiry_grace: Duration::from_millis(200),
            hash_key: [0; 16],
        }
    }
}
