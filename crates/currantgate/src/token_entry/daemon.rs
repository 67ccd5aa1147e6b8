//! The token entry daemon: a socket, feeds and timers around one router.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use currantgate_placement::Target;
use currantgate_registry::{Availability, Upstream, UpstreamView, ViewRefreshTimer};
use currantgate_token::{TokenRouter, TokenUpstream};
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

use super::decision_log::DecisionLog;
use super::error::TokenEntryError;
use super::format::WireFormat;
use super::metrics::TokenEntryMetrics;
use super::packets::Packets;
use super::routing::Routing;
use super::settings::TokenEntrySettings;
use crate::feed::{FeedEvent, FeedHello, FeedLinks, FeedLinksSettings, FeedMessage, Held};

/// How often flows whose callers gave up are let go: a small part of a
/// caller's patience.
const FLOW_INTERVAL: Duration = Duration::from_millis(100);

/// How often it is looked whether routes are to be asked for again: a little less
/// than a control VM may take to answer.
const ROUTES_INTERVAL: Duration = Duration::from_millis(500);

/// How long packets are carried after the entry said that it leaves: the fabric
/// asks twice a second and turns away after two misses, with some slack.
const LEAVE_FABRIC: Duration = Duration::from_millis(1_800);

/// A running token entry; it stops when it is dropped.
pub struct TokenEntry {
    address: SocketAddr,
    is_ready: Rc<Cell<bool>>,
    is_leaving: Cell<bool>,
    seeds_tx: watch::Sender<Vec<SocketAddr>>,
    metrics: TokenEntryMetrics,
    task: JoinHandle<()>,
}

impl TokenEntry {
    /// Starts an entry on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when packets can't be taken at the address.
    pub fn start<F: WireFormat>(
        settings: &TokenEntrySettings,
        format: F,
    ) -> Result<Self, TokenEntryError> {
        let error = |source| TokenEntryError::Packets {
            address: settings.packets,
            source,
        };
        let packets = Packets::bind(settings.packets, format).map_err(error)?;
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
        let (seeds_tx, seeds) = watch::channel(settings.seeds.clone());
        let core = Core {
            routing: Routing {
                router: TokenRouter::new(settings.routing.clone(), settings.placement.clone()),
                metrics: metrics.clone(),
                decisions: DecisionLog::new(Instant::now()),
            },
            packets,
            view: UpstreamView::new(settings.view.clone()),
            held: Held::default(),
            pace: ViewRefreshTimer::new(Instant::now()),
            shown_upstreams: 0,
            links,
            domain: settings.domain.clone(),
            is_ready: Rc::clone(&is_ready),
            were_routes_current: false,
        };
        let task = actix_rt::spawn(core.run(events, seeds));
        log::info!("entry {} takes packets at {address}", settings.name);
        Ok(Self {
            address,
            is_ready,
            is_leaving: Cell::new(false),
            seeds_tx,
            metrics,
            task,
        })
    }

    /// Returns where packets are taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether routes and upstreams are known, so that packets can be
    /// served, and the entry is not about to leave.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get() && !self.is_leaving.get()
    }

    /// Leaves the fabric before a planned stop, within `limit`: the entry is not
    /// ready any more, and carries packets until no more should come.
    pub async fn prepare_stop(&self, limit: Duration) {
        self.is_leaving.set(true);
        actix_rt::time::sleep(LEAVE_FABRIC.min(limit)).await;
    }

    /// Replaces the control VMs that are known from the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds_tx.send_replace(seeds);
    }

    /// Adds the entry's metrics to those of the process.
    pub fn register_metrics(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }
}

impl Drop for TokenEntry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Core<F> {
    routing: Routing,
    packets: Packets<F>,
    view: UpstreamView,
    held: Held,
    pace: ViewRefreshTimer,
    /// The upstreams that routing knows.
    shown_upstreams: usize,
    links: FeedLinks,
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
        let mut flow_interval = actix_rt::time::interval(FLOW_INTERVAL);
        let mut routes_interval = actix_rt::time::interval(ROUTES_INTERVAL);
        loop {
            tokio::select! {
                readable = self.packets.readable() => match readable {
                    Ok(()) => self.packets.take(&mut self.routing),
                    Err(e) => log::error!("packets can't be awaited: {e}"),
                },
                Some(event) = events.recv() => {
                    let version = self.view.generation();
                    self.take(event);
                    while let Ok(event) = events.try_recv() {
                        self.take(event);
                    }
                    if self.view.generation() > version {
                        self.pace.mark_changed();
                    }
                    self.show_upstreams_if_due();
                    self.update_routes_state();
                }
                _ = flow_interval.tick() => {
                    self.routing.expire_flows(Instant::now());
                    self.show_upstreams_if_due();
                }
                _ = routes_interval.tick() => {
                    self.update_routes_state();
                    self.links.tick();
                }
                Ok(()) = seeds.changed() => {
                    let seeds = seeds.borrow_and_update().clone();
                    self.links.set_seeds(seeds);
                }
                else => return,
            }
        }
    }

    fn take(&mut self, event: FeedEvent) {
        self.links.note(&event);
        let now = Instant::now();
        match event {
            FeedEvent::Up(from) => self.view.source_connected(now, from),
            FeedEvent::Down(from) => {
                self.view.source_disconnected(now, from);
                self.held.lost(from);
            }
            FeedEvent::Message(from, FeedMessage::Present(present)) => {
                self.routing.decisions.view_at = now;
                self.held.told(from, present.revision, present.is_in_quorum);
            }
            FeedEvent::Message(from, FeedMessage::Upstreams(records)) => {
                self.routing.decisions.view_at = now;
                self.view.apply(now, from, records);
            }
            FeedEvent::Message(from, FeedMessage::Update(packed)) => self.adopt(from, &packed),
        }
    }

    /// Puts a newer revision in force; an entry never goes back to an older.
    fn adopt(&mut self, from: SocketAddr, packed: &[u8]) {
        let Some(change) = self.held.take(from, packed) else {
            return;
        };
        match self.packets.format().routes(&change.text) {
            Ok(routes) => {
                let routes_len = routes.len();
                log::info!(
                    event = "revision",
                    revision = change.revision,
                    routes = routes_len,
                    from:% = from;
                    "revision is in force"
                );
                self.routing.router.set_routes(routes);
                self.routing.decisions.revision = change.revision;
            }
            // Control VMs check each file, so theirs is another release.
            Err(e) => log::error!("revision {} is kept out of force: {e}", change.revision),
        }
    }

    fn update_routes_state(&mut self) {
        if let Some(ask) = self.held.next_ask(Instant::now()) {
            self.links.ask(ask);
        }
        self.links.set_held(self.held.revision());
        let is_current = self.held.is_current();
        self.note_freshness(is_current);
        self.routing.router.set_routes_current(is_current);
        self.routing
            .metrics
            .show_feeds(self.view.source_count(), is_current);
        let has_started = self.held.revision() > 0 && self.shown_upstreams > 0;
        if has_started && !self.is_ready.replace(true) {
            log::info!(event = "ready", revision = self.held.revision(); "ready");
        }
    }

    /// Tells when routes are known to be the newest from now on, or no more.
    fn note_freshness(&mut self, is_current: bool) {
        if std::mem::replace(&mut self.were_routes_current, is_current) == is_current {
            return;
        }
        log::info!(
            event = "freshness",
            is_current = is_current,
            revision = self.held.revision(),
            feeds = self.view.source_count();
            "what is known of the newest revision has changed"
        );
    }

    fn show_upstreams_if_due(&mut self) {
        let now = Instant::now();
        // Until the entry is ready, nothing else waits.
        if self.pace.is_due(now) || !self.is_ready.get() {
            self.show_upstreams(now);
        }
    }

    fn show_upstreams(&mut self, now: Instant) {
        let upstreams = self.view.upstreams(now);
        self.routing
            .router
            .set_upstreams_complete(self.view.is_complete(now));
        let known = upstreams.len();
        self.pace.record_refresh(now, known);
        self.shown_upstreams = known;
        self.routing.decisions.upstreams(&upstreams);
        let domain = &self.domain;
        let format = self.packets.format();
        let shown = upstreams
            .iter()
            .filter_map(|upstream| show(upstream, domain, format))
            .collect();
        self.routing.router.set_upstreams(shown);
        self.routing.metrics.show(
            self.routing.router.tracked_flows(),
            known,
            self.held.revision(),
        );
    }
}

/// Returns an upstream as routing and placement see it.
fn show<F: WireFormat>(
    upstream: &Upstream,
    domain: &str,
    format: &F,
) -> Option<(TokenUpstream, Option<Target>)> {
    let report = &upstream.report;
    let Some(identity) = format.identity(&report.id) else {
        log::debug!("upstream {} can't be named in packets", report.id);
        return None;
    };
    let as_hop = TokenUpstream {
        id: report.id.clone(),
        started_ms: report.version.started_ms,
        address: report.address,
        identity,
    };
    let target = Target {
        key: 0,
        service: report.service.clone(),
        domain: report.domain.clone(),
        is_local: &*report.domain == domain,
        slots: report.slots,
        warm_at: upstream.warm_at,
        is_reporting: upstream.availability == Availability::Ready,
    };
    let takes_flows = upstream.availability != Availability::Closed;
    Some((as_hop, takes_flows.then_some(target)))
}
