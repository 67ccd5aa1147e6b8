//! Reasons to refuse a new flow.

use std::time::Duration;

use displaydoc::Display;

/// Reason to refuse a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// no upstream of the service is known
    NoUpstream,
    /// all upstreams of the service are cold and no permit for one is available
    OnlyCold,
    /// the service answers late and has enough requests that go before
    Overloaded(Overload),
}

/// State of an overloaded service that has reached its flow limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Overload {
    /// Number of this entry's open flows of the same or a higher priority.
    pub competing_flows: u32,
    /// Number of such flows at which new ones are refused.
    pub flow_limit: u32,
    /// Median duration of the flows that ended within the sample window.
    pub median_duration: Duration,
}
