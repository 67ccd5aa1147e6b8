//! State of one service as this entry observes it.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::admission::Admission;
use crate::demand_log::DemandLog;
use crate::domain_preference::DomainPreference;
use crate::ended_flow::EndedFlow;
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
    pub(crate) domain_preference: DomainPreference,
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
    /// Records the end of a flow.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        flow: &EndedFlow,
        settings: &PlacementSettings,
    ) {
        let is_late = self.admission.record_end(now, flow, &settings.admission);
        let preference = &settings.domain_preference;
        if preference.is_adaptive && !flow.is_at_slow_upstream {
            self.domain_preference
                .record_end(flow.is_local, is_late, preference);
        }
        self.recent_durations.push(now, flow.duration);
    }

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

    /// Returns the number of open flows from which new ones wait or are refused; nothing
    /// while flows are not limited. It follows from the entry's share of the fleet's
    /// capacity where that is known, and otherwise from the entry's own flows.
    pub(crate) fn flow_limit(
        &self,
        request: &PlacementRequest<'_>,
        settings: &PlacementSettings,
    ) -> Option<f64> {
        let Some(shares) = self.sharing.shares() else {
            return self.admission.flow_limit(request, &settings.admission);
        };
        let target = request.latency_target;
        Some(flow_limit(shares, target, &settings.sharing))
    }

    /// Returns the number of open flows from which flows wait that can't be answered within
    /// their latency target any more; nothing while these are not limited.
    pub(crate) fn late_flow_limit(
        &self,
        latency_target: Duration,
        settings: &PlacementSettings,
    ) -> Option<f64> {
        let admission = &settings.admission;
        let Some(shares) = self.sharing.shares() else {
            return self.admission.late_flow_limit(latency_target, admission);
        };
        Some(admission.window.late_part * shares.own_share * shares.fleet_flows)
    }

    /// Returns the demand relative to what is served: that of the fleet where it is known,
    /// and otherwise that of the entry's own flows.
    pub(crate) fn load(&self) -> f64 {
        let shares = self.sharing.shares();
        shares.map_or_else(|| self.admission.load(), |shares| shares.load)
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
