//! The token entry daemon, which runs one router with its socket, feeds and
//! timers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use currantgate_capacity::DomainDemand;
use currantgate_log::{RateLimit, RateLimiter};
use currantgate_observation::{SlowUpstream, SlownessView, UpstreamKey};
use currantgate_placement::Target;
use currantgate_registry::{
    Availability, EvacuationView, NamedServices, Upstream, UpstreamView, ViewRefreshTimer,
};
use currantgate_token::{CapacityLimitSettings, TokenRouter, TokenUpstream};
use currantgate_warmup::{ClockReading, SuspensionDetector};
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use super::decision_log::DecisionLog;
use super::demand_metrics::DemandMetrics;
use super::demand_monitor::DemandMonitor;
use super::demand_view::DemandView;
use super::error::TokenEntryError;
use super::format::WireFormat;
use super::limit_monitor::LimitMonitor;
use super::metrics::TokenEntryMetrics;
use super::packet_socket::PacketSocket;
use super::routing::{Routing, SharedDemand};
use super::settings::TokenEntrySettings;
use super::stall_detector::StallDetector;
use super::unsent_demand::UnsentDemand;
use crate::feed::{
    EvacuatedFlows, EvacuationState, FeedEvent, FeedHello, FeedLinks, FeedLinksSettings,
    FeedMessage, FlowReports, RevisionTracker,
};

/// Interval at which flows whose callers have given up are expired, a small part
/// of the time after which callers give up.
const FLOW_EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the entry checks whether to request newer routes again, a
/// little less than the time that a control VM has to answer a request.
const ROUTES_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the entry reports what it observed of upstreams: often enough
/// that a slow one is avoided within two seconds, at 420 bytes a report at most.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Rate of lines about demand that can't be reported: an entry that is cut off from
/// control would write two a second.
const UNSENT_LOG_LIMIT: RateLimit = RateLimit {
    lines: 1,
    interval: Duration::from_secs(10),
};

/// Interval at which the flows that wait are checked, besides after packets: one leaves at
/// most this time after the limit has risen or its maximum wait has passed.
const WAITING_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Multiple of the usual duration after which a flow counts against its upstream. Work of
/// single requests lasts up to six times the mean.
const OVERDUE_FACTOR: f64 = 8.0;

/// Time after which a first packet without an answer is reported: over ten times that of a
/// handshake, and half of that after which callers retransmit.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which packets are still forwarded once the entry reports that it is
/// not ready: the fabric checks readiness twice a second and stops sending packets
/// after two misses, plus some slack.
const FABRIC_DRAIN_TIME: Duration = Duration::from_millis(1_800);

/// A running token entry, which stops when dropped.
pub struct TokenEntry {
    address: SocketAddr,
    is_ready: Rc<Cell<bool>>,
    is_draining: Cell<bool>,
    seeds_tx: watch::Sender<Vec<SocketAddr>>,
    metrics: TokenEntryMetrics,
    /// Metrics of shared demand; nothing where entries don't share it.
    demand_metrics: Option<DemandMetrics>,
    task: JoinHandle<()>,
}

impl TokenEntry {
    /// Starts an entry on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet socket can't be bound.
    pub fn start<F: WireFormat>(
        settings: &TokenEntrySettings,
        format: F,
    ) -> Result<Self, TokenEntryError> {
        let error = |source| TokenEntryError::PacketSocket {
            address: settings.packet_address,
            source,
        };
        let packets = PacketSocket::bind(settings.packet_address, format).map_err(error)?;
        let address = packets.local_addr().map_err(error)?;
        let links = FeedLinksSettings {
            hello: FeedHello {
                name: settings.name.clone(),
                domain: settings.domain.clone(),
                control: None,
            },
            secret: *settings.key.bytes(),
            own: None,
        };
        let (links, events) = FeedLinks::start(links, settings.seeds.clone());
        let is_ready = Rc::new(Cell::new(false));
        let metrics = TokenEntryMetrics::default();
        let demand_metrics = settings.is_demand_shared.then(DemandMetrics::default);
        let demand = demand_metrics.clone();
        let demand = demand.map(|metrics| SharedDemand {
            view: DemandView::default(),
            limit: LimitMonitor::new(Instant::now(), metrics.limit.clone()),
            monitor: DemandMonitor::new(Instant::now(), metrics),
        });
        let (seeds_tx, seeds) = watch::channel(settings.seeds.clone());
        let mut router = new_router(settings);
        if let Some(limit) = settings.warmup_limit {
            router.limit_cold_upstreams(Instant::now(), limit, settings.placement.seed);
        }
        let core = Core {
            routing: Routing {
                router,
                suspensions: SuspensionDetector::new(ClockReading::now()),
                metrics: metrics.clone(),
                decisions: DecisionLog::new(Instant::now(), settings.domain.clone()),
                demand,
            },
            packets,
            view: UpstreamView::new(settings.view.clone()),
            evacuations: EvacuationView::default(),
            flow_reports: FlowReports::new(Instant::now()),
            revisions: RevisionTracker::default(),
            refresh_timer: ViewRefreshTimer::new(Instant::now()),
            routed_upstreams: 0,
            links,
            collector: None,
            slowness: SlownessView::default(),
            leader: None,
            unsent_demand: UnsentDemand::new(Instant::now()),
            unsent_log: RateLimiter::new(UNSENT_LOG_LIMIT, Instant::now()),
            domain: settings.domain.clone(),
            is_ready: Rc::clone(&is_ready),
            were_routes_current: false,
        };
        let task = actix_rt::spawn(core.run(events, seeds));
        log::info!("entry {} receives packets at {address}", settings.name);
        Ok(Self {
            address,
            is_ready,
            is_draining: Cell::new(false),
            seeds_tx,
            metrics,
            demand_metrics,
            task,
        })
    }

    /// Returns the address at which packets are received.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the entry can serve packets: it has routes and upstreams,
    /// and is not about to stop.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get() && !self.is_draining.get()
    }

    /// Drains the entry before a planned stop, for at most `limit`: the entry
    /// reports that it is not ready, and forwards packets until the fabric should
    /// have stopped sending them.
    pub async fn prepare_stop(&self, limit: Duration) {
        self.is_draining.set(true);
        actix_rt::time::sleep(FABRIC_DRAIN_TIME.min(limit)).await;
    }

    /// Replaces the addresses of the control VMs that the settings list.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds_tx.send_replace(seeds);
    }

    /// Adds the entry's metrics to those of the process.
    pub fn register_metrics(&self, registry: &mut Registry) {
        self.metrics.register(registry);
        if let Some(metrics) = &self.demand_metrics {
            metrics.register(registry);
        }
    }
}

impl Drop for TokenEntry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Core<F> {
    routing: Routing,
    packets: PacketSocket<F>,
    view: UpstreamView,
    evacuations: EvacuationView,
    flow_reports: FlowReports,
    revisions: RevisionTracker,
    refresh_timer: ViewRefreshTimer,
    /// Number of upstreams of named services in the view that the router was last updated
    /// from.
    routed_upstreams: usize,
    links: FeedLinks,
    /// Control VM to which observations are reported.
    collector: Option<SocketAddr>,
    /// Lists of slow upstreams: that of the collector, or those of all control VMs if demand
    /// is shared.
    slowness: SlownessView<SocketAddr>,
    /// Control VM that issues permits for cold upstreams, by the last heartbeat that named
    /// it.
    leader: Option<SocketAddr>,
    unsent_demand: UnsentDemand,
    /// Limits the lines about demand that can't be reported.
    unsent_log: RateLimiter,
    domain: Box<str>,
    is_ready: Rc<Cell<bool>>,
    were_routes_current: bool,
}

impl<F: WireFormat> Core<F> {
    async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<FeedEvent>,
        mut seeds: watch::Receiver<Vec<SocketAddr>>,
    ) {
        let mut flow_interval = actix_rt::time::interval(FLOW_EXPIRY_INTERVAL);
        let mut observation_interval = actix_rt::time::interval(OBSERVATION_INTERVAL);
        // After a stall, reports sent back to back would show too much demand.
        observation_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut routes_interval = actix_rt::time::interval(ROUTES_CHECK_INTERVAL);
        let mut stall_detector = StallDetector::new(Instant::now());
        let mut waiting_interval = actix_rt::time::interval(WAITING_CHECK_INTERVAL);
        waiting_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let permits_due = self.next_permits_request_at();
            let answer_due = self.routing.router.next_answer_time();
            let unanswered_due = self.routing.router.unanswered().due_at(Instant::now());
            tokio::select! {
                readable = self.packets.readable() => match readable {
                    Ok(()) => {
                        self.routing.detect_stall(&mut stall_detector);
                        let is_queue_empty = self.packets.process_batch(&mut self.routing);
                        self.release_waiting();
                        if !is_queue_empty {
                            // The runtime polls timers, feeds and the socket's send buffer
                            // only between two turns of a task, and waiting for a socket that
                            // is readable does not end a turn.
                            actix_rt::task::yield_now().await;
                        }
                    }
                    Err(e) => log::error!("waiting for packets failed: {e}"),
                },
                Some(event) = events.recv() => {
                    let version = self.view.generation();
                    self.handle_event(event);
                    while let Ok(event) = events.try_recv() {
                        self.handle_event(event);
                    }
                    if self.view.generation() > version {
                        self.refresh_timer.mark_changed();
                    }
                    self.update_upstreams_if_due();
                    self.update_routes_state();
                    self.routing.detect_stall(&mut stall_detector);
                    self.release_waiting();
                }
                _ = flow_interval.tick() => {
                    self.routing.detect_stall(&mut stall_detector);
                    self.routing.expire_flows(Instant::now());
                    self.routing.update_limit(Instant::now());
                    self.report_evacuated_flows();
                    self.update_upstreams_if_due();
                }
                _ = waiting_interval.tick(), if self.routing.router.has_waiting() => {
                    self.routing.detect_stall(&mut stall_detector);
                    self.release_waiting();
                }
                () = wait_until(permits_due) => self.request_permits(),
                () = wait_until(answer_due) => {
                    self.routing.detect_stall(&mut stall_detector);
                    // An answer may have arrived that was not read yet.
                    if self.packets.process_batch(&mut self.routing) {
                        self.routing.router.record_late_answers(Instant::now());
                    }
                }
                () = wait_until(unanswered_due) => self.report_unanswered(),
                _ = observation_interval.tick() => {
                    self.report_observations();
                    self.report_demand();
                }
                _ = routes_interval.tick() => {
                    self.update_routes_state();
                    self.links.update_unlisted();
                }
                Ok(()) = seeds.changed() => {
                    let seeds = seeds.borrow_and_update().clone();
                    self.links.set_seeds(seeds);
                }
                else => return,
            }
        }
    }

    /// Forwards or resets the flows that have waited and leave the queue now.
    fn release_waiting(&mut self) {
        if self.routing.router.has_waiting() {
            self.packets
                .release_waiting(Instant::now(), &mut self.routing);
        }
    }

    fn handle_event(&mut self, event: FeedEvent) {
        self.links.handle_event(&event);
        let now = Instant::now();
        match event {
            FeedEvent::Connected(from) => self.view.source_connected(now, from),
            FeedEvent::Disconnected(from) => {
                self.view.source_disconnected(now, from);
                self.revisions.remove(from);
                self.flow_reports.remove(from);
                self.leader.take_if(|leader| *leader == from);
                // The next feed starts with all slow upstreams.
                self.collector.take_if(|collector| *collector == from);
                self.update_slowness(now, |view, is_local| view.remove(&from, is_local));
                let collector = self.collector;
                self.update_slowness(now, |view, is_local| {
                    view.set_collector(collector, is_local)
                });
            }
            FeedEvent::Message(from, FeedMessage::Heartbeat(heartbeat)) => {
                self.routing.decisions.view_at = now;
                self.revisions
                    .record(from, heartbeat.revision, heartbeat.is_in_quorum);
                if heartbeat.is_in_quorum && heartbeat.leader.is_some() {
                    self.leader = heartbeat.leader;
                }
            }
            FeedEvent::Message(from, FeedMessage::Upstreams(records)) => {
                self.routing.decisions.view_at = now;
                for (id, ends_at) in self.view.apply(now, from, records) {
                    if let Some(identity) = self.packets.format().encode_upstream_id(&id) {
                        let router = &mut self.routing.router;
                        router.extend_warmup(now, &id, identity, ends_at);
                    }
                }
            }
            FeedEvent::Message(from, FeedMessage::Update(packed)) => self.apply(from, &packed),
            FeedEvent::Message(from, FeedMessage::SlowUpstreams(slow)) => {
                if self.collector == Some(from) || self.routing.demand.is_some() {
                    self.update_slowness(now, |view, is_local| view.apply(from, &slow, is_local));
                }
            }
            FeedEvent::Message(from, FeedMessage::Evacuations(state)) => {
                self.apply_evacuations(now, from, state);
            }
            FeedEvent::Message(
                _,
                FeedMessage::WarmupPermits {
                    request,
                    pace_ms,
                    permits,
                },
            ) => {
                self.routing.detect_suspension();
                if let Some(holder) = self.routing.router.permits() {
                    let pace = Duration::from_millis(pace_ms.into());
                    holder.receive(Instant::now(), request, pace, &permits);
                }
            }
            FeedEvent::Message(
                from,
                FeedMessage::Demand {
                    age_ms,
                    position,
                    encoded,
                },
            ) => {
                let age = Duration::from_millis(age_ms.into());
                let config = bincode::config::standard();
                match bincode::serde::decode_from_slice(&encoded, config) {
                    Ok((demand, _)) => {
                        let demand = DomainDemand { position, ..demand };
                        self.routing.record_demand(now, from, age, demand);
                    }
                    // All control VMs and entries are upgraded before demand is shared.
                    Err(e) => log::error!("a figure of demand from {from} is malformed: {e}"),
                }
            }
        }
    }

    /// Updates the lists of slow upstreams, and passes changes of the merged one to the router.
    fn update_slowness(
        &mut self,
        now: Instant,
        update: impl FnOnce(
            &mut SlownessView<SocketAddr>,
            &dyn Fn(UpstreamKey) -> bool,
        ) -> Vec<SlowUpstream>,
    ) {
        let Routing { router, demand, .. } = &self.routing;
        // Without shared demand, the collector's list is the only one.
        let is_local = |key| {
            let location = router.upstream_location(key);
            demand.is_some() && location.is_some_and(|(_, domain)| *domain == *self.domain)
        };
        let changes = update(&mut self.slowness, &is_local);
        if !changes.is_empty() {
            self.routing.update_slow_upstreams(now, &changes);
        }
    }

    /// Applies a newer state of the evacuated domains at once, as control VMs have
    /// acknowledged the order already. So are later ends of evacuations in a state that is
    /// not newer, as the upstreams of these domains may be cold.
    fn apply_evacuations(&mut self, now: Instant, from: SocketAddr, state: EvacuationState) {
        let returned_changes = self.evacuations.returned_changes();
        let change = self.evacuations.apply(now, state.into_update());
        if let Some(change) = &change {
            let decisions = &self.routing.decisions;
            decisions.log_evacuation_change(from, change, &self.evacuations);
            let evacuated = self.evacuations.evacuated().cloned();
            self.routing.router.set_evacuated(evacuated);
        }
        if change.is_some() || self.evacuations.returned_changes() > returned_changes {
            self.update_upstreams(now);
        }
    }

    /// Reports the open flows in evacuated domains to the control VMs that don't know their
    /// number yet.
    fn report_evacuated_flows(&mut self) {
        let now = Instant::now();
        let evacuated = self.evacuations.evacuated();
        if evacuated.len() == 0 || !self.flow_reports.is_due(now) {
            return;
        }
        let router = &self.routing.router;
        let open = evacuated.map(|domain| (domain.clone(), router.open_flows_in(domain)));
        let report = EvacuatedFlows {
            evacuations: self.evacuations.revision(),
            open: open.filter(|(_, flows)| *flows > 0).collect(),
        };
        let due = self
            .flow_reports
            .take_due(now, &report, self.links.connected());
        for to in due {
            if !self.links.report_evacuated_flows(to, report.clone()) {
                self.flow_reports.remove(to);
                log::debug!("a report of flows in evacuated domains to {to} is sent later");
            }
        }
    }

    /// Returns when the next request for permits may be due: nothing while no upstream is
    /// cold or no leader is known.
    fn next_permits_request_at(&mut self) -> Option<Instant> {
        self.leader?;
        self.routing.router.permits()?.next_request_at()
    }

    /// Requests permits for cold upstreams from the leader.
    fn request_permits(&mut self) {
        self.routing.detect_suspension();
        if let Some(leader) = self.leader
            && let Some(holder) = self.routing.router.permits()
            && let Some(request) = holder.next_request(Instant::now())
        {
            self.links.request_permits(leader, request);
        }
    }

    /// Reports what was observed of upstreams since the last call.
    ///
    /// When the collector changes, the list of the previous one is dropped, as it sends no
    /// more changes; unless demand is shared, as it then sends them to all entries. The first
    /// report to a collector is sent even if it is
    /// empty, because the collector sends its slow upstreams only to reporters.
    fn report_observations(&mut self) {
        let collector = self.links.collector();
        let is_first = collector != self.collector;
        if is_first {
            let now = Instant::now();
            let previous = std::mem::replace(&mut self.collector, collector);
            self.update_slowness(now, |view, is_local| {
                view.set_collector(collector, is_local)
            });
            if let Some(previous) = previous
                && self.routing.demand.is_none()
            {
                self.update_slowness(now, |view, is_local| view.remove(&previous, is_local));
            }
        }
        let observations = self.routing.router.take_observations();
        if let Some(collector) = collector
            && (is_first || !observations.is_empty())
        {
            self.links.report_observations(collector, observations);
        }
    }

    /// Reports first packets that were not answered. Without a collector, the report is
    /// dropped: it would be out of date when there is one.
    fn report_unanswered(&mut self) {
        let unanswered = self.routing.router.unanswered().take(Instant::now());
        if let Some(collector) = self.collector {
            self.links.report_unanswered(collector, unanswered);
        }
    }

    /// Reports the demand of this entry's callers since the last call, if entries share
    /// it. The report is sent even if there is no demand, as a domain without reports
    /// would have no figure, and the entries would not know that its slots are free. The
    /// demand of a report that can't be queued is part of the next one.
    fn report_demand(&mut self) {
        let now = Instant::now();
        if !self.routing.update_demand(now) {
            return;
        }
        let unsent = &mut self.unsent_demand;
        unsent.add(self.routing.router.take_demand());
        let Some(collector) = self.collector else {
            *unsent = UnsentDemand::new(now);
            if let Some(left_out) = self.unsent_log.try_acquire(now) {
                log::debug!(left_out = left_out; "no collector is known to report demand to");
            }
            return;
        };
        let period = unsent.period(now);
        if self.links.report_demand(collector, period, unsent.demand()) {
            *unsent = UnsentDemand::new(now);
        } else if let Some(left_out) = self.unsent_log.try_acquire(now) {
            log::debug!(left_out = left_out; "a report of demand is sent with the next one");
        }
    }

    /// Applies an update to a newer revision; an entry never goes back to an older
    /// one.
    fn apply(&mut self, from: SocketAddr, packed: &[u8]) {
        let Some(change) = self.revisions.apply(from, packed) else {
            return;
        };
        match self.packets.format().parse_routes(&change.text) {
            Ok(routes) => {
                let routes_len = routes.len();
                log::info!(
                    event = "revision",
                    revision = change.revision,
                    routes = routes_len,
                    from:% = from;
                    "revision is applied"
                );
                let services = routes.services().cloned();
                self.view.set_services(NamedServices::new(services));
                self.routing.router.set_routes(routes);
                self.routing.decisions.revision = change.revision;
                // Services may limit their cold upstreams from now on.
                self.update_upstreams(Instant::now());
            }
            // Control VMs validate each file, so their release differs from this one.
            Err(e) => log::error!("revision {} is not applied: {e}", change.revision),
        }
    }

    /// Requests newer routes if there are any, and updates whether the routes are
    /// current and the entry is ready.
    fn update_routes_state(&mut self) {
        if let Some(request) = self.revisions.next_request(Instant::now()) {
            self.links.request_update(request);
        }
        self.links.set_revision(self.revisions.revision());
        let is_current = self.revisions.is_current();
        self.log_freshness_change(is_current);
        self.routing.router.set_routes_current(is_current);
        self.routing
            .metrics
            .set_feeds(self.view.source_count(), is_current);
        let can_serve = self.revisions.revision() > 0 && self.routed_upstreams > 0;
        if can_serve && !self.is_ready.replace(true) {
            log::info!(event = "ready", revision = self.revisions.revision(); "ready");
        }
    }

    /// Logs when the routes become or cease to be confirmed as the newest.
    fn log_freshness_change(&mut self, is_current: bool) {
        if std::mem::replace(&mut self.were_routes_current, is_current) == is_current {
            return;
        }
        log::info!(
            event = "freshness",
            is_current = is_current,
            revision = self.revisions.revision(),
            feeds = self.view.source_count();
            "freshness of the routes has changed"
        );
    }

    fn update_upstreams_if_due(&mut self) {
        let now = Instant::now();
        // Before the entry is ready, an update delays no packets.
        if self.refresh_timer.is_due(now) || !self.is_ready.get() {
            self.update_upstreams(now);
        }
    }

    /// Passes the upstreams in the view to the router.
    fn update_upstreams(&mut self, now: Instant) {
        let upstreams = self.view.upstreams(now);
        self.routing
            .router
            .set_upstreams_complete(self.view.is_complete(now));
        let count = upstreams.len();
        self.refresh_timer.record_refresh(now, count);
        self.routed_upstreams = upstreams.iter().filter(|u| u.is_named).count();
        self.routing.decisions.log_availability_changes(&upstreams);
        let domain = &self.domain;
        let format = self.packets.format();
        let router = &mut self.routing.router;
        let routable: Vec<_> = upstreams
            .iter()
            .filter_map(|upstream| {
                let report = &upstream.report;
                let is_cold = !report.warmup_remaining.is_zero();
                let reported = is_cold.then_some((upstream.warm_at, report.warmup_remaining));
                let returned_at = self.evacuations.returned_at(&report.domain);
                let warmup = router.limited_warmup(&report.service);
                let limited = warmup.and_then(|w| w.warm_at(reported, returned_at));
                let warm_at = limited.unwrap_or(upstream.warm_at);
                to_routable(upstream, warm_at, domain, format)
            })
            .collect();
        if let Some(demand) = &mut self.routing.demand {
            demand
                .monitor
                .set_slots(routable.iter().filter_map(|(_, target)| target.as_ref()));
        }
        router.set_upstreams(routable);
        router.update_cold_upstreams(now);
        self.routing.metrics.set_state(
            self.routing.router.tracked_flows(),
            count,
            self.revisions.revision(),
        );
        let router = &self.routing.router;
        self.routing
            .metrics
            .set_warmup(router.cold_upstreams(), router.used_permits());
        let evacuated = self.evacuations.evacuated();
        let open_flows = evacuated.map(|domain| self.routing.router.open_flows_in(domain));
        self.routing
            .metrics
            .set_evacuations(&self.evacuations, open_flows.sum());
    }
}

/// Waits until the given time, or forever if there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => actix_rt::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Returns a router with the given settings. If entries share their demand, flows are
/// placed by shares, those that last too long are reported before they end, and new ones
/// are limited while the entry's processor or link is the bottleneck.
fn new_router(settings: &TokenEntrySettings) -> TokenRouter {
    let mut routing = settings.routing.clone();
    let mut placement = settings.placement.clone();
    if settings.is_demand_shared {
        placement.demand.get_or_insert_default();
        routing.overdue_factor.get_or_insert(OVERDUE_FACTOR);
        routing.answer_timeout.get_or_insert(ANSWER_TIMEOUT);
    }
    let mut router = TokenRouter::new(routing, placement);
    if settings.is_demand_shared {
        router.watch_capacity(Instant::now(), CapacityLimitSettings::default());
    }
    router
}

/// Converts an upstream for the router, with a target for new flows if it takes
/// any. Returns `None` if its id can't be encoded in packets.
fn to_routable<F: WireFormat>(
    upstream: &Upstream,
    warm_at: Instant,
    domain: &str,
    format: &F,
) -> Option<(TokenUpstream, Option<Target>)> {
    let report = &upstream.report;
    let Some(identity) = format.encode_upstream_id(&report.id) else {
        log::debug!(
            "the id of upstream {} can't be encoded in packets",
            report.id
        );
        return None;
    };
    let token_upstream = TokenUpstream {
        id: report.id.clone(),
        started_ms: report.version.started_ms,
        address: report.address,
        identity,
        is_named: upstream.is_named,
    };
    let target = Target {
        key: 0,
        service: report.service.clone(),
        domain: report.domain.clone(),
        is_local: &*report.domain == domain,
        slots: report.slots,
        warm_at,
        is_reporting: upstream.availability == Availability::Ready,
    };
    let takes_flows = upstream.is_named && upstream.availability != Availability::Closed;
    Some((token_upstream, takes_flows.then_some(target)))
}
