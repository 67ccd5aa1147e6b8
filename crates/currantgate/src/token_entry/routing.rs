//! The router with the log and the metrics of its decisions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_capacity::DomainDemand;
use currantgate_observation::SlowUpstream;
use currantgate_token::{Decision, FirstPacketDecision, FlowId, TokenRouter};
use currantgate_warmup::{ClockReading, SuspensionDetector};

use super::decision_log::DecisionLog;
use super::demand_monitor::DemandMonitor;
use super::demand_view::{DemandChange, DemandView};
use super::format::{MalformedPacket, Packet};
use super::limit_monitor::LimitMonitor;
use super::metrics::TokenEntryMetrics;
use super::stall_detector::StallDetector;

/// Time for which packets count as delayed after a stop: until the receive queue is empty,
/// even on a small VM.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// The router with the log and the metrics of its decisions.
#[derive(Debug)]
pub(super) struct Routing {
    pub(super) router: TokenRouter,
    pub(super) metrics: TokenEntryMetrics,
    pub(super) decisions: DecisionLog,
    pub(super) suspensions: SuspensionDetector,
    /// Shared demand; nothing where entries don't share their demand.
    pub(super) demand: Option<SharedDemand>,
}

/// The view of shared demand with its log and metrics.
#[derive(Debug)]
pub(super) struct SharedDemand {
    pub(super) view: DemandView,
    pub(super) monitor: DemandMonitor,
    pub(super) limit: LimitMonitor,
}

impl Routing {
    /// Routes a packet, and logs and counts the decision.
    /// `len` is the length of the packet as it was received.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        packet: Packet,
        len: usize,
    ) -> (FlowId, Decision) {
        let (flow, decision) = match packet {
            Packet::First(packet) => {
                let now = self.check_permits(now);
                self.refresh_demand(now);
                let decided = self.router.route_first_or_wait(now, packet, len);
                self.record_first(now, &packet.flow, &decided);
                (packet.flow, decided.decision)
            }
            Packet::Later(packet) => {
                let decision = self.router.route_later(now, packet);
                if let Some(time) = self.router.take_handshake_time() {
                    self.metrics.observe_handshake(time);
                }
                if let Decision::Drop(reason) = decision {
                    self.decisions
                        .log_dropped(now, &packet.flow, packet.token, reason);
                }
                (packet.flow, decision)
            }
        };
        self.metrics.count_decision(&decision);
        self.log_suspicion_changes(now);
        (flow, decision)
    }

    /// Returns the next flow that has waited and leaves the queue now, and the decision about
    /// its first packet.
    pub(super) fn next_departure(&mut self, now: Instant) -> Option<(FlowId, Decision)> {
        if !self.router.has_waiting() {
            return None;
        }
        let now = self.check_permits(now);
        self.refresh_demand(now);
        let departure = self.router.next_departure(now)?;
        if let Some(waited) = departure.decided.waited {
            let decision = departure.decided.decision;
            self.metrics.admission.count_departure(waited, decision);
        }
        self.record_first(now, &departure.flow, &departure.decided);
        self.metrics.count_decision(&departure.decided.decision);
        Some((departure.flow, departure.decided.decision))
    }

    /// Logs and counts the decision about a first packet.
    fn record_first(&mut self, now: Instant, flow: &FlowId, decided: &FirstPacketDecision) {
        if let Some(shared) = &mut self.demand {
            let monitor = &mut shared.monitor;
            monitor.count_decision(flow, decided, &self.router);
        }
        let (demand, router) = (self.demand.as_ref(), &self.router);
        let figures = || {
            let figures = |shared: &SharedDemand| {
                DemandMonitor::figures(now, flow, decided, &shared.view, router)
            };
            demand.map(figures).unwrap_or_default()
        };
        self.decisions
            .log_first_packet(now, flow, decided, figures, router);
    }

    /// Drops permits for cold upstreams after a suspension of the VM. Returns the current
    /// time where there are permits: `now` is that of a batch of packets, in which the
    /// process may have been stopped.
    fn check_permits(&mut self, now: Instant) -> Instant {
        let has_permits = self.router.permits().is_some_and(|p| p.has_permits());
        if !has_permits {
            return now;
        }
        self.detect_suspension();
        Instant::now()
    }

    /// Drops permits for cold upstreams if the VM was suspended, as the clock that their
    /// lifetime is measured by was stopped, and lets no flow be reset for a while.
    pub(super) fn detect_suspension(&mut self) {
        if !self.suspensions.detect(ClockReading::now()) {
            return;
        }
        if let Some(permits) = self.router.permits() {
            log::warn!(event = "suspension"; "this VM was suspended, its permits are dropped");
            permits.clear(Instant::now());
        }
        self.start_catching_up(Instant::now());
    }

    /// Lets no flow be reset for a while if the process was stopped or the VM suspended.
    pub(super) fn detect_stall(&mut self, detector: &mut StallDetector) {
        let now = Instant::now();
        if detector.check(now) {
            self.start_catching_up(now);
        }
        self.detect_suspension();
    }

    fn start_catching_up(&mut self, now: Instant) {
        log::info!(event = "stall"; "this process was stopped, delayed flows are not reset");
        self.router.set_catching_up_until(now + CATCH_UP_TIME);
    }

    /// Applies changes of what all entries observe of upstreams.
    pub(super) fn update_slow_upstreams(&mut self, now: Instant, changes: &[SlowUpstream]) {
        self.router.update_slow_upstreams(changes);
        let count = self.router.slow_upstreams().len();
        self.metrics.set_slow_upstreams(count);
        self.decisions.log_slow_upstreams(now, &self.router);
    }

    /// Takes the demand of a failure domain's callers, if entries share it.
    pub(super) fn record_demand(
        &mut self,
        now: Instant,
        from: SocketAddr,
        age: Duration,
        demand: DomainDemand,
    ) {
        if let Some(shared) = &mut self.demand {
            shared.view.record(now, from, age, demand);
            self.refresh_demand(now);
        }
    }

    /// Passes changes of the view of demand to the router.
    fn refresh_demand(&mut self, now: Instant) {
        let Some(SharedDemand { view, monitor, .. }) = &mut self.demand else {
            return;
        };
        match view.update(now) {
            Some(DemandChange::Renewed(demands)) => {
                for demand in demands {
                    self.router.update_demand(now, demand);
                }
            }
            Some(DemandChange::OutOfDate) => {
                self.router.clear_demand();
                monitor.count_fallback();
            }
            None => {}
        }
    }

    /// Updates the log and the metrics of shared demand; returns whether entries share it.
    pub(super) fn update_demand(&mut self, now: Instant) -> bool {
        self.refresh_demand(now);
        if let Some(SharedDemand { view, monitor, .. }) = &mut self.demand {
            monitor.update(now, view, &self.router);
        }
        self.demand.is_some()
    }

    fn log_suspicion_changes(&mut self, now: Instant) {
        for change in self.router.take_suspicion_changes() {
            self.decisions
                .log_suspicion_change(now, &change, &self.router);
        }
    }

    /// Logs and counts a datagram that can't be parsed as a packet.
    pub(super) fn record_malformed(&mut self, now: Instant, len: usize, reason: MalformedPacket) {
        self.metrics.count_malformed(reason);
        self.decisions.log_malformed(now, len, reason);
    }

    /// Updates the log and the metrics of the entry's own limit, where it is watched.
    pub(super) fn update_limit(&mut self, now: Instant) {
        let limit = self.router.capacity_limit();
        if let (Some(shared), Some(limit)) = (&mut self.demand, limit) {
            shared.limit.update(now, limit);
        }
    }

    /// Removes flows whose callers have given up, and updates the metrics of admission.
    pub(super) fn expire_flows(&mut self, now: Instant) {
        self.metrics.admission.update(&self.router);
        self.router.record_overdue(now);
        while let Some(expired) = self.router.pop_expired(now) {
            self.metrics.count_expired(expired.was_answered);
            self.decisions.log_expired(now, &expired, &self.router);
        }
        self.log_suspicion_changes(now);
    }
}
