//! State of one service as this entry observes it.

use indexmap::IndexSet;

use crate::TargetKey;
use crate::admission::Admission;
use crate::demand_log::DemandLog;
use crate::recent_durations::RecentDurations;
use crate::share_admission::ShareAdmission;
use crate::sharing::Sharing;

/// Upstreams of a service that may get new flows, and its admission control.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) keys: IndexSet<TargetKey>,
    pub(crate) admission: Admission,
    pub(crate) recent_durations: RecentDurations,
    /// Demand that was not reported yet.
    pub(crate) demand_log: DemandLog,
    pub(crate) sharing: Sharing,
    pub(crate) share_admission: ShareAdmission,
    /// Number of open flows at upstreams whose slots don't count. They take no slots.
    pub(crate) stuck_flows: u32,
}
