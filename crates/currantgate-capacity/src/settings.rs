//! Settings of demand and shares.

use std::time::Duration;

/// Settings of [`crate::DemandCollector`] and [`crate::FleetDemand`].
#[derive(Clone, Debug, PartialEq)]
pub struct DemandSettings {
    /// Time over which the reports of an entry are averaged. It holds two reports, so
    /// that a delayed one doesn't make the entry drop out.
    pub window: Duration,
    /// Part of its slots that a domain's own demand may use before flows go to other
    /// domains. The rest absorbs random variation within the domain.
    pub local_fill: f64,
    /// Time in which the estimated work of a flow follows the measured slot time.
    pub work_time_constant: Duration,
    /// The same for longer slot times while the fleet is loaded beyond `local_fill`,
    /// as slot times then include time in queues.
    pub loaded_work_time_constant: Duration,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            local_fill: 0.7,
            work_time_constant: Duration::from_secs(2),
            loaded_work_time_constant: Duration::from_secs(60),
        }
    }
}
