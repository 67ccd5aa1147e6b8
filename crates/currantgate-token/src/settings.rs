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
    /// Times after the first packet of a flow at which callers send it again. They tell how
    /// old a flow is at least, even to an entry that has just started.
    pub retransmit_after: [Duration; 2],
    /// Time after the first packet of a flow at which callers without an answer give up.
    pub attempt_timeout: Duration,
    /// Whether flows that can't be answered within their latency target any more wait for
    /// idle slots behind those that can.
    pub defers_late_copies: bool,
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
            retransmit_after: [Duration::from_millis(200), Duration::from_millis(600)],
            attempt_timeout: Duration::from_millis(1_400),
            defers_late_copies: true,
            expiry_grace: Duration::from_millis(200),
            overdue_factor: None,
            answer_timeout: None,
            hash_key: [0; 16],
        }
    }
}
