//! Why a new flow gets no upstream.

use std::time::Duration;

use displaydoc::Display;

/// Why a new flow gets no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// no upstream of the service is known
    NoUpstream,
    /// the service answers late and has enough requests that go before
    Overloaded(Overload),
}

/// Why a service has no room for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Overload {
    /// The open flows of this entry that go before.
    pub competing_flows: u32,
    /// How many there may be.
    pub flow_limit: u32,
    /// How long half of the flows that ended a short time ago were open.
    pub median_duration: Duration,
}
