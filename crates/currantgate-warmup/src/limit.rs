//! Limit of the new flows of cold upstreams.

/// Limit of the new flows that a cold upstream may get in a second from all entries
/// together, relative to the rate that it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// Multiple of the rate that the upstream bears.
    pub overrun: f64,
    /// Flows beyond that multiple.
    pub slack: f64,
}

impl WarmupLimit {
    /// Returns the most new flows in a second for an upstream that bears the given rate.
    pub fn flows_per_second(&self, rate: f64) -> u16 {
        // The conversion saturates, and a fraction of a flow can't be placed.
        (rate * self.overrun + self.slack).floor() as u16
    }
}
