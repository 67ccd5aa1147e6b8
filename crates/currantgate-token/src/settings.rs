//! Settings of token routing.

use std::time::Duration;

/// Settings of a [`crate::TokenRouter`].
#[derive(Clone, Debug, PartialEq)]
pub struct TokenSettings {
    /// Most flows that have a record; further ones are routed without. A record takes
    /// about 100 bytes, so that the default is a few megabytes.
    pub max_flows: usize,
    /// Time after a first packet in which a copy counts as a duplicate made by the
    /// network and goes to the same upstream. It must be shorter than the time after
    /// which callers retransmit.
    pub duplicate_window: Duration,
    /// Time after the caller's timeout until a flow no longer counts as load of its
    /// upstream.
    pub expiry_grace: Duration,
    /// Multiple of the usual duration of a service's flows after which an established flow
    /// that has not ended is overdue, at least its latency target. `None` to learn of a
    /// flow only when it ends.
    ///
    /// An upstream that takes requests and never answers ends no flow until its callers
    /// give up.
    pub overdue_factor: Option<f64>,
    /// Time after which a first packet without an answer is reported; below the time after
    /// which callers retransmit. `None` to learn of it only from the retransmission.
    pub answer_timeout: Option<Duration>,
    /// Key of the hash that selects a service of a route; the same on all entries of a
    /// site.
    pub hash_key: [u8; 16],
}

impl Default for TokenSettings {
    fn default() -> Self {
        Self {
            max_flows: 50_000,
            duplicate_window: Duration::from_millis(120),
            expiry_grace: Duration::from_millis(200),
            overdue_factor: None,
            answer_timeout: None,
            hash_key: [0; 16],
        }
    }
}
