//! What the queue of waiting flows asks of placement. See `docs/design/overload.md`.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::Placement;
use crate::service::Service;
use crate::{Overload, PlacementRequest, Priority, TargetKey, WaitEstimate};

impl Placement {
    /// Counts the arrival of a flow that is not placed, as others wait before it. Returns
    /// the overload by which it may be refused, if any.
    pub(crate) fn count_arrival(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Option<Overload> {
        self.update_shares(now, request);
        let admission = &self.settings.admission;
        let service = self.services.get_mut(request.service)?;
        let overload = service.admission.check_overload(now, request, admission);
        let Some(shares) = service.sharing.shares() else {
            return overload;
        };
        let settings = &self.settings.sharing;
        let admission = &mut service.share_admission;
        if !admission.may_refuse(now, request, shares, settings) {
            return None;
        }
        let limit = service.flow_limit(request, &self.settings)?;
        let competing_flows = service.admission.competing_flows(request.priority);
        service.overload(competing_flows, limit as u32)
    }

    /// Returns the demand of a service relative to what is served.
    pub(crate) fn load(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, Service::load)
    }

    /// Counts a refused flow, so that no more are refused than exceed the fleet's capacity.
    pub(crate) fn record_refusal(&mut self, service: &str, priority: Priority) {
        if let Some(service) = self.services.get_mut(service) {
            service.share_admission.record_refusal(priority);
        }
    }

    /// Reverts the count of a refused flow, as it waits instead.
    pub(crate) fn cancel_refusal(&mut self, service: &str, priority: Priority) {
        if let Some(service) = self.services.get_mut(service) {
            service.share_admission.cancel_refusal(priority);
        }
    }

    /// Returns what is known about the wait of a flow; nothing while its flows are not
    /// limited.
    pub(crate) fn wait_estimate(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Option<WaitEstimate> {
        let service = self.services.get(request.service)?;
        let limit = service.flow_limit(request, &self.settings)?;
        let durations = &service.recent_durations;
        let time_at_upstream = durations.median()?;
        Some(WaitEstimate {
            // Little's law: `limit` flows are open for this time each.
            interval: time_at_upstream.div_f64(limit.max(1.0)),
            since_last_end: now.saturating_duration_since(durations.last_at()?),
            time_at_upstream,
            higher_share: service.recent_priorities.share_above(request.priority),
        })
    }

    /// Draws how the limit of waiting flows is rounded, after the end of a flow.
    pub(super) fn redraw_rounding(&mut self, key: TargetKey) {
        if self.fleet_demand.is_some() {
            let rounding = self.rng.random_range(0.0..1.0);
            if let Some(service) = self.service(key) {
                service.share_admission.set_rounding(rounding);
            }
        }
    }

    /// Tells whether a waiting flow may be placed: the entry's open flows are below its
    /// limit, or there are no shares any more and thus no limit.
    pub(crate) fn has_room(&mut self, now: Instant, request: &PlacementRequest<'_>) -> bool {
        self.update_shares(now, request);
        let Some(service) = self.services.get(request.service) else {
            return true;
        };
        let Some(limit) = service.flow_limit(request, &self.settings) else {
            return true;
        };
        // Drawn once for each flow that ends, as this is asked far more often.
        let rounding = service.share_admission.rounding();
        service.competing_flows(request.priority) < (limit + rounding) as u32
    }

    /// Tells whether a flow may be placed that can't be answered within its latency target
    /// any more: the entry's open flows leave a part of its limit to those that can.
    pub(crate) fn has_room_for_late(&self, service: &str, latency_target: Duration) -> bool {
        let Some(service) = self.services.get(service) else {
            return true;
        };
        let limit = service.late_flow_limit(latency_target, &self.settings);
        limit.is_none_or(|limit| f64::from(service.admission.open_flows()) < limit)
    }

    /// Tells whether a flow of a service has ended since a time.
    pub(crate) fn has_ended_since(&self, service: &str, since: Instant) -> bool {
        let service = self.services.get(service);
        let last_end = service.and_then(|service| service.recent_durations.last_at());
        last_end.is_some_and(|at| at >= since)
    }
}
