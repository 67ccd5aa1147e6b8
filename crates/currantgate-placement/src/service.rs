//! State of one service as this entry observes it.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::admission::Admission;
use crate::demand_log::DemandLog;
use crate::recent_durations::RecentDurations;
use crate::recent_priorities::RecentPriorities;
use crate::share_admission::ShareAdmission;
use crate::sharing::Sharing;
use crate::{SharingSettings, TargetKey};

/// Upstreams of a service that may get new flows, and its admission control.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) keys: IndexSet<TargetKey>,
    /// The same by failure domain and key, if demand is shared: an order that is alike on
    /// all entries of a domain. The first part is the index of the domain.
    pub(crate) ordered: Vec<(usize, TargetKey)>,
    pub(crate) admission: Admission,
    pub(crate) recent_durations: RecentDurations,
    pub(crate) recent_priorities: RecentPriorities,
    /// Demand that was not reported yet.
    pub(crate) demand_log: DemandLog,
    pub(crate) sharing: Sharing,
    pub(crate) share_admission: ShareAdmission,
    /// Number of open flows at upstreams whose slots don't count. They take no slots.
    pub(crate) stuck_flows: u32,
}

impl Service {
    /// Records the work time of a flow that was served.
    pub(crate) fn record_work(
        &mut self,
        now: Instant,
        work_time: Duration,
        settings: &SharingSettings,
    ) {
        self.demand_log.record_completion(work_time);
        self.share_admission.record_end(now, work_time, settings);
    }

    /// Returns the part of the open flows that take no slots, from 0 to 1.
    pub(crate) fn stuck_share(&self) -> f64 {
        let open = self.admission.open_flows().max(1);
        (f64::from(self.stuck_flows) / f64::from(open)).min(1.0)
    }
}
