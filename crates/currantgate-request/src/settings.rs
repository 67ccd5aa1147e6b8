//! Settings of the dispatcher.

use std::time::Duration;

/// Settings of the dispatcher, which apply to each service of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of queued requests of one service.
    pub max_queued: usize,
    /// Retries added to the retry budget by each first attempt; 0.1 allows one in ten.
    pub retry_share: f64,
    /// Capacity of the retry budget, in retries.
    pub retry_burst: f64,
    /// Maximum number of attempts of one request, without gracefully closed ones.
    pub max_attempts: u32,
    /// Number of consecutive failures that opens an upstream's circuit.
    pub circuit_failures: u32,
    /// Initial backoff of an open circuit; doubles with each failed probe.
    pub circuit_backoff: Duration,
    /// Maximum backoff of an open circuit.
    pub circuit_max_backoff: Duration,
    /// Time after each failure in which an upstream gets no attempts.
    pub cooldown: Duration,
    /// Slots added to a reduced concurrency limit by each successful response.
    pub warmup_slots_per_response: f64,
    /// Half-life of the moving averages of latency.
    pub latency_half_life: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Idle time on a connection with open requests after which a PING is sent.
    pub ping_after: Duration,
    /// Timeout for the acknowledgement of a PING.
    pub ping_timeout: Duration,
    /// Number of consecutive overdue requests after which a connection is replaced.
    pub max_consecutive_timeouts: u32,
    /// Minimum retry delay given to a rejected caller.
    pub min_retry_after: Duration,
    /// Seed of the random number generator.
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
