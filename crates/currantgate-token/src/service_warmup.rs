//! The warm-up of a service's upstreams.

use std::time::Duration;

/// What the configuration says about the cold upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWarmup {
    /// Time that an upstream takes to warm up.
    pub duration: Duration,
    /// New flows per second that a cold upstream bears.
    pub flows_per_second: f64,
}
