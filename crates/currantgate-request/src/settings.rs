//! Settings of the dispatcher.

use std::time::Duration;

/// Settings of the dispatcher, alike for all services of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The most requests of one service that wait for a slot.
    pub max_queued: usize,
    /// Retries that each first attempt pays for; 0.1 allows one in ten.
    pub retry_share: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// Failures in a row after which an upstream gets no work for a while.
    pub circuit_failures: u32,
    /// The first pause of a failing upstream; it doubles with each failed probe.
    pub circuit_backoff: Duration,
    /// The longest pause of a failing upstream.
    pub circuit_max_backoff: Duration,
    /// How long an upstream gets no work after one failure.
    pub cooldown: Duration,
    /// Slots that a warming upstream gains with each answer.
    pub warmup_slots_per_response: f64,
    /// Time in which an observed latency loses half of its weight.
    pub latency_half_life: Duration,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// Silence on a connection with open requests after which it is pinged.
    pub ping_after: Duration,
    /// How long an upstream may take to answer a PING.
    pub ping_timeout: Duration,
    /// Requests in a row that may expire on a connection before it is replaced.
    pub max_consecutive_timeouts: u32,
    /// The shortest time after which a refused caller is asked to come back.
    pub min_retry_after: Duration,
    /// Seeds all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_queued: 1_024,
            retry_share: 0.1,
            retry_burst: 10.0,
            max_attempts: 3,
            circuit_failures: 5,
            circuit_backoff: Duration::from_secs(1),
            circuit_max_backoff: Duration::from_secs(30),
            cooldown: Duration::from_millis(50),
            warmup_slots_per_response: 0.125,
            latency_half_life: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            ping_after: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(1),
            max_consecutive_timeouts: 3,
            min_retry_after: Duration::from_secs(1),
            seed: 0,
        }
    }
}
