//! State of one service as this entry observes it.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::admission::Admission;
use crate::demand_log::DemandLog;
use crate::recent_durations::RecentDurations;
use crate::recent_priorities::RecentPriorities;
use crate::share_admission::{ShareAdmission, flow_limit};
use crate::sharing::Sharing;
use crate::{Overload, PlacementRequest, PlacementSettings, Priority, SharingSettings, TargetKey};

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

    /// Returns the number of open flows from which this entry may refuse new ones; nothing
    /// without shares.
    pub(crate) fn flow_limit(
        &self,
        request: &PlacementRequest<'_>,
        settings: &PlacementSettings,
    ) -> Option<f64> {
        let shares = self.sharing.shares()?;
        let late_factor = settings.admission.late_target_factor;
        let target = request.latency_target;
        Some(flow_limit(shares, target, late_factor, &settings.sharing))
    }

    /// Returns the open flows that compete with one of the given priority. Flows that take no
    /// slots are left out, as the limit doesn't count their upstreams; they are of all
    /// priorities.
    pub(crate) fn competing_flows(&self, priority: Priority) -> u32 {
        let open = self.admission.open_flows().max(1);
        let stuck_share = (f64::from(self.stuck_flows) / f64::from(open)).min(1.0);
        let competing = f64::from(self.admission.competing_flows(priority));
        (competing * (1.0 - stuck_share)).round() as u32
    }

    /// Returns the overload of an entry with the given numbers of flows; nothing without
    /// shares.
    pub(crate) fn overload(&self, competing_flows: u32, flow_limit: u32) -> Option<Overload> {
        let work_seconds = self.sharing.shares()?.work_ms / 1_000.0;
        Some(Overload {
            competing_flows,
            flow_limit,
            median_duration: Duration::try_from_secs_f64(work_seconds).unwrap_or(Duration::MAX),
        })
    }
}
