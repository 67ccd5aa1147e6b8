//! The server side of feeds, on a control VM.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use currantgate_capacity::ServiceDemand;
use currantgate_control::{
    Change, FrameWriter, IncomingStream, PublishedEvacuations, RecentChanges, Revision, RevisionId,
    TransportError, Update,
};
use currantgate_log::{RateLimit, RateLimiter};
use currantgate_observation::{
    FleetObservations, FleetSettings, SlowUpstream, reporter_id, slowness_changes,
};
use currantgate_registry::{ChangeNumber, Record, UpstreamRegistry};
use currantgate_warmup::{PermitsAnswer, PermitsRequest};
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::demand_publisher::DemandPublisher;
use super::evacuations;
use super::listeners::{FeedId, Listeners, list_slots};
use super::message::{EvacuationState, FeedHello, FeedMessage, FeedRequest, Heartbeat};
use super::permits::{LeaderPermits, PermitCounts};
use super::published_demand::PublishedDemand;
use super::sent_demand::SentDemand;
use super::status::{EvacuationStatus, FleetStatus};
use crate::control::ControlHandle;

/// Interval of the heartbeats on a feed. A listener reopens the feed after three
/// missed ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which a listener's feed is closed: three of the
/// listener's heartbeats.
const LISTENER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Timeout of sending one message. A feed that is stuck is closed, and reopened by
/// the listener.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which a control VM is listed in heartbeats after its last message.
const CONTROL_LISTING_TIME: Duration = Duration::from_secs(10);

/// Most upstreams in one message. These are about 10 KB, or 40 ms of a link of
/// 2 Mbit/s, so that the messages of several feeds arrive within a listener's
/// timeout.
const MAX_UPSTREAMS_PER_MESSAGE: usize = 100;

/// Rate of lines about rejected reports of demand on one feed.
const INVALID_DEMAND_LIMIT: RateLimit = RateLimit {
    lines: 1,
    interval: Duration::from_secs(10),
};

/// The state that a control VM sends on all its feeds.
pub(crate) struct FeedSource {
    pub(crate) registry: RefCell<UpstreamRegistry>,
    changes: RefCell<RecentChanges>,
    /// Encoded updates to the newest change, by their base.
    packed: RefCell<IndexMap<RevisionId, Arc<[u8]>>>,
    handle: RefCell<Option<ControlHandle>>,
    /// Counter of changes, which wakes the feeds to send them at once.
    changed: watch::Sender<u64>,
    /// Other control VMs, with the time of the last message from each.
    controls: RefCell<IndexMap<SocketAddr, Instant>>,
    own_address: Cell<Option<SocketAddr>>,
    listeners: RefCell<Listeners>,
    evacuations: RefCell<PublishedEvacuations>,
    /// What the entries that report here have observed.
    observations: RefCell<FleetObservations>,
    /// Permits for cold upstreams, issued while this VM holds the leader's lease.
    permits: RefCell<LeaderPermits>,
    /// Demand of the callers of the entries that report here.
    demand: RefCell<DemandPublisher>,
    /// Whether an entry has reported demand, and so measures slowness by work.
    is_demand_shared: Cell<bool>,
}

impl FeedSource {
    pub(crate) fn new(registry: UpstreamRegistry) -> Self {
        Self {
            registry: RefCell::new(registry),
            changes: RefCell::default(),
            packed: RefCell::default(),
            handle: RefCell::new(None),
            changed: watch::channel(0).0,
            controls: RefCell::new(IndexMap::new()),
            own_address: Cell::new(None),
            listeners: RefCell::default(),
            evacuations: RefCell::default(),
            observations: RefCell::new(FleetObservations::new(
                std::time::Instant::now(),
                FleetSettings::default(),
            )),
            permits: RefCell::new(LeaderPermits::new()),
            demand: RefCell::new(DemandPublisher::new(std::time::Instant::now())),
            is_demand_shared: Cell::new(false),
        }
    }

    /// Sets the address and the handle of the control VM once it listens.
    pub(crate) fn set_control(&self, own: SocketAddr, handle: ControlHandle) {
        self.own_address.set(Some(own));
        *self.handle.borrow_mut() = Some(handle);
    }

    /// Returns the number of open feeds.
    pub(crate) fn open_feeds(&self) -> usize {
        self.changed.receiver_count()
    }

    /// Returns the status of the fleet for operators.
    pub(crate) fn fleet(&self) -> FleetStatus {
        let listeners = self.listeners.borrow();
        listeners.status(Instant::now(), &self.registry.borrow())
    }

    /// Returns the upstreams that are slow by what entries have observed.
    pub(crate) fn slow_upstreams(&self) -> Rc<[SlowUpstream]> {
        let mut observations = self.observations.borrow_mut();
        observations.slow_upstreams(std::time::Instant::now())
    }

    /// Returns the evacuations that are published.
    pub(crate) fn evacuations(&self) -> &RefCell<PublishedEvacuations> {
        &self.evacuations
    }

    /// Returns the status of the evacuations for operators.
    pub(crate) fn evacuation_status(&self) -> EvacuationStatus {
        let evacuations = self.evacuations.borrow();
        EvacuationStatus {
            listeners: self.listeners.borrow().evacuations(),
            slots: list_slots(self.registry.borrow().iter()),
            ..evacuations::to_status(&evacuations, std::time::Instant::now())
        }
    }

    /// Returns the evacuations if they have changed since change `sent`, which is updated.
    fn take_unsent_evacuations(&self, sent: &mut u64) -> Option<EvacuationState> {
        let evacuations = self.evacuations.borrow();
        let change = evacuations.change();
        if std::mem::replace(sent, change) == change {
            return None;
        }
        evacuations::to_message(&evacuations, std::time::Instant::now())
    }

    /// Returns whether entries get no upstreams yet.
    fn holds_upstreams(&self) -> bool {
        let evacuations = self.evacuations.borrow();
        evacuations.holds_upstreams(std::time::Instant::now())
    }

    /// Returns the domains whose demand is merged here, each with the number of entries
    /// that report it.
    pub(crate) fn demand_entries(&self) -> Vec<(Box<str>, u16)> {
        let published = self.published_demand(std::time::Instant::now());
        let demands = published.iter().map(|published| &published.demand);
        demands.map(|d| (d.domain.clone(), d.entries)).collect()
    }

    fn published_demand(&self, now: std::time::Instant) -> Rc<[Rc<PublishedDemand>]> {
        let listeners = self.listeners.borrow();
        let mut demand = self.demand.borrow_mut();
        demand.published(now, listeners.entries_by_domain())
    }

    /// Adds an entry's report of demand; returns whether its numbers are valid.
    fn record_demand(&self, from: &FeedHello, period: Duration, report: &[ServiceDemand]) -> bool {
        if !self.is_demand_shared.replace(true) {
            let settings = FleetSettings::with_demand();
            self.observations.borrow_mut().set_settings(settings);
        }
        let now = std::time::Instant::now();
        let reporter = reporter_id(&from.name);
        let mut demand = self.demand.borrow_mut();
        demand.record(now, reporter, &from.domain, period, report)
    }

    /// Returns the numbers of requests for permits and of permits that were granted.
    pub(crate) fn permit_counts(&self) -> PermitCounts {
        self.permits.borrow().counts()
    }

    /// Wakes all feeds.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records that a control VM is alive.
    pub(crate) fn record_control(&self, address: SocketAddr) {
        self.controls.borrow_mut().insert(address, Instant::now());
    }

    /// Returns the addresses of this control VM and of those that are alive.
    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut controls = self.controls.borrow_mut();
        controls.retain(|_, last_message| now < *last_message + CONTROL_LISTING_TIME);
        self.own_address
            .get()
            .into_iter()
            .chain(controls.keys().copied())
            .collect()
    }

    fn heartbeat(&self) -> Heartbeat {
        let handle = self.handle.borrow();
        let handle = handle.as_ref();
        let lease_term = handle.and_then(ControlHandle::lease_term);
        let mut permits = self.permits.borrow_mut();
        permits.update(std::time::Instant::now(), lease_term);
        Heartbeat {
            revision: self.changes.borrow().newest().revision,
            is_in_quorum: !self.holds_upstreams()
                && handle.is_some_and(ControlHandle::is_in_quorum),
            leader: handle.and_then(|h| h.leader()).map(|(_, address)| address),
            controls: self.controls(),
        }
    }

    /// Returns permits for cold upstreams if this VM holds the leader's lease.
    fn issue_permits(&self, feed: FeedId, request: &PermitsRequest) -> Option<PermitsAnswer> {
        let handle = self.handle.borrow();
        let lease_term = handle.as_ref().and_then(ControlHandle::lease_term);
        let mut permits = self.permits.borrow_mut();
        permits.answer(std::time::Instant::now(), lease_term, feed, request)
    }

    /// Publishes a change that is in force. One that is not newer is ignored.
    pub(crate) fn publish(&self, change: Arc<Change>) {
        if self.changes.borrow_mut().publish(change) {
            self.packed.borrow_mut().clear();
            self.notify();
        }
    }

    /// Returns the newest change.
    pub(crate) fn newest_change(&self) -> Option<Arc<Change>> {
        self.changes.borrow().newest_change().cloned()
    }

    /// Returns the encoded update from `base` to the newest change.
    fn update_from(&self, base: RevisionId) -> Option<Arc<[u8]>> {
        let update = self.changes.borrow_mut().update_from(base)?;
        // Full updates are the same for all listeners, whatever their base.
        let from = match *update {
            Update::Full(_) => RevisionId::empty(),
            Update::Delta { from, .. } => from,
        };
        let mut packed = self.packed.borrow_mut();
        let packed = packed.entry(from).or_insert_with(|| update.pack().into());
        Some(Arc::clone(packed))
    }

    /// Records that a listener is alive, if it is a control VM.
    fn record_listener(&self, hello: &FeedHello) {
        let Some((id, address)) = hello.control else {
            return;
        };
        self.record_control(address);
        if let Some(handle) = &*self.handle.borrow() {
            handle.record_contact(id, address, &hello.domain);
        }
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.source.listeners.borrow_mut().remove(self.id);
    }
}

/// Serves one feed until it fails or is closed.
pub(crate) async fn serve_feed(source: Rc<FeedSource>, incoming: IncomingStream) {
    let from = incoming.from;
    match Feed::open(source, incoming).await {
        Ok(mut feed) => {
            let name = feed.hello.name.clone();
            log::info!(event = "listener", listener = &*name, address:% = from; "feed has opened");
            if let Err(e) = feed.run().await {
                log::info!(
                    event = "listener",
                    listener = &*name,
                    address:% = from;
                    "feed has closed: {e}"
                );
            }
        }
        Err(e) => log::warn!("opening a feed for {from} failed: {e}"),
    }
}

/// What a feed sends together, in the order of the fields.
struct FeedChanges {
    evacuations: Option<EvacuationState>,
    /// The changed upstreams; nothing while the listener gets none.
    upstreams: Option<Vec<Record>>,
    heartbeat: Heartbeat,
}

/// One open feed.
struct Feed {
    source: Rc<FeedSource>,
    hello: FeedHello,
    id: FeedId,
    writer: FrameWriter,
    reader: currantgate_control::FrameReader,
    last_heartbeat: Heartbeat,
    /// Number of the newest change of the evacuations that has been sent.
    sent_evacuations: u64,
    /// Whether the listener held evacuations before this feed, so that it gets upstreams
    /// although orders may be missing here.
    needs_no_hold: bool,
    /// Number of the newest change of upstreams that has been sent.
    sent_change: ChangeNumber,
    /// Slow upstreams as the listener knows them; nothing while it has not reported
    /// any observations.
    sent_slow: Option<Rc<[SlowUpstream]>>,
    sent_demand: SentDemand,
    /// Limits the lines about rejected reports, as an entry sends two a second.
    invalid_demand: RateLimiter,
    heartbeat_due: Instant,
    listener_deadline: Instant,
}

impl Feed {
    async fn open(
        source: Rc<FeedSource>,
        incoming: IncomingStream,
    ) -> Result<Self, TransportError> {
        let IncomingStream {
            mut reader, writer, ..
        } = incoming;
        let hello = timeout(LISTENER_TIMEOUT, reader.next::<FeedHello>()).await;
        let hello = hello.map_err(|_| TransportError::Timeout)??;
        let now = Instant::now();
        let hello = hello.ok_or(TransportError::Truncated)?;
        let id = source.listeners.borrow_mut().add(now, hello.clone());
        Ok(Self {
            source,
            hello,
            id,
            writer,
            reader,
            last_heartbeat: Heartbeat::default(),
            sent_evacuations: 0,
            needs_no_hold: false,
            sent_change: 0,
            sent_slow: None,
            sent_demand: SentDemand::default(),
            invalid_demand: RateLimiter::new(INVALID_DEMAND_LIMIT, now.into_std()),
            heartbeat_due: now,
            listener_deadline: now + LISTENER_TIMEOUT,
        })
    }

    async fn run(&mut self) -> Result<(), TransportError> {
        let mut changed = self.source.changed.subscribe();
        self.source.record_listener(&self.hello);
        loop {
            self.send_changes().await?;
            tokio::select! {
                request = self.reader.next::<FeedRequest>() => {
                    let request = request?.ok_or(TransportError::Truncated)?;
                    let now = Instant::now();
                    self.listener_deadline = now + LISTENER_TIMEOUT;
                    let revision = request.held_revision();
                    self.source.listeners.borrow_mut().record_message(now, self.id, revision);
                    self.source.record_listener(&self.hello);
                    self.handle_request(request).await?;
                }
                _ = changed.changed() => {}
                () = sleep_until(self.heartbeat_due) => {}
                () = sleep_until(self.listener_deadline) => return Err(TransportError::Timeout),
            }
        }
    }

    async fn handle_request(&mut self, request: FeedRequest) -> Result<(), TransportError> {
        match request {
            FeedRequest::Heartbeat { .. } => Ok(()),
            FeedRequest::Update { min_revision, base } => {
                self.send_update(min_revision, base).await
            }
            FeedRequest::Observations { observations, .. } => {
                let now = std::time::Instant::now();
                let mut merged = self.source.observations.borrow_mut();
                // Not the feed's id: an entry whose feed breaks often is still one.
                merged.record(now, reporter_id(&self.hello.name), &observations);
                self.sent_slow.get_or_insert_default();
                Ok(())
            }
            FeedRequest::Evacuations {
                evacuations,
                had_quorum,
                ..
            } => {
                self.needs_no_hold |= had_quorum;
                let mut listeners = self.source.listeners.borrow_mut();
                listeners.record_evacuations(self.id, evacuations);
                Ok(())
            }
            FeedRequest::WarmupPermits { request, .. } => self.send_permits(&request).await,
            FeedRequest::Demand {
                period_ms, demand, ..
            } => {
                let period = Duration::from_millis(period_ms.into());
                if !self.source.record_demand(&self.hello, period, &demand) {
                    self.log_invalid_demand();
                }
                Ok(())
            }
        }
    }

    fn log_invalid_demand(&mut self) {
        if let Some(left_out) = self.invalid_demand.try_acquire(std::time::Instant::now()) {
            log::warn!(
                event = "listener",
                listener = &*self.hello.name,
                left_out = left_out;
                "a report of demand is rejected: a number is negative or not finite"
            );
        }
    }

    /// Sends permits for cold upstreams if this VM holds the leader's lease.
    async fn send_permits(&mut self, request: &PermitsRequest) -> Result<(), TransportError> {
        let Some(answer) = self.source.issue_permits(self.id, request) else {
            return Ok(());
        };
        let pace_ms = u16::try_from(answer.pace.as_millis()).unwrap_or(u16::MAX);
        self.send(&FeedMessage::WarmupPermits {
            request: request.number,
            pace_ms,
            permits: answer.permits,
        })
        .await
    }

    /// Sends the requested update. Requests for a revision that is not held here are
    /// ignored.
    async fn send_update(
        &mut self,
        min_revision: Revision,
        base: RevisionId,
    ) -> Result<(), TransportError> {
        if self.source.changes.borrow().newest().revision < min_revision {
            return Ok(());
        }
        match self.source.update_from(base) {
            Some(packed) => self.send(&FeedMessage::Update(packed)).await,
            None => Ok(()),
        }
    }

    /// Sends changes of the slow upstreams to a listener that reports what it observes.
    async fn send_slow_upstreams(&mut self) -> Result<(), TransportError> {
        let Some(sent) = &mut self.sent_slow else {
            return Ok(());
        };
        let slow = self.source.slow_upstreams();
        // Every change of an upstream wakes all feeds; this list rarely changes.
        if Rc::ptr_eq(sent, &slow) {
            return Ok(());
        }
        let changes = slowness_changes(sent, &slow);
        *sent = slow;
        if changes.is_empty() {
            return Ok(());
        }
        self.send(&FeedMessage::SlowUpstreams(changes)).await
    }

    /// Takes what is to be sent from one state of the control VM. If a part were read after
    /// another had been sent, upstreams or a heartbeat that claims contact with a quorum
    /// could overtake evacuations that arrived in between.
    fn take_changes(&mut self) -> FeedChanges {
        let evacuations = self
            .source
            .take_unsent_evacuations(&mut self.sent_evacuations);
        let is_held = self.source.holds_upstreams() && !self.needs_no_hold;
        let gets_upstreams = self.hello.control.is_none() && !is_held;
        FeedChanges {
            evacuations,
            upstreams: gets_upstreams.then(|| self.take_unsent_upstreams()),
            heartbeat: self.source.heartbeat(),
        }
    }

    /// Sends the upstreams that have changed, and a heartbeat if the state has
    /// changed or a heartbeat is due. Control VMs are sent no upstreams.
    async fn send_changes(&mut self) -> Result<(), TransportError> {
        let FeedChanges {
            evacuations,
            upstreams,
            heartbeat,
        } = self.take_changes();
        // Before the upstreams, so that an entry places no flow without them.
        if let Some(evacuations) = evacuations {
            self.send(&FeedMessage::Evacuations(evacuations)).await?;
        }
        if let Some(records) = upstreams {
            self.send_upstreams(&records).await?;
            let mut listeners = self.source.listeners.borrow_mut();
            listeners.record_sent(self.id, self.sent_change);
        }
        self.send_slow_upstreams().await?;
        let now = Instant::now();
        if heartbeat != self.last_heartbeat || now >= self.heartbeat_due {
            self.send_demand().await?;
            let due = (now + HEARTBEAT_INTERVAL).into_std();
            self.heartbeat_due = Instant::from_std(self.sent_demand.next_heartbeat(due));
            self.last_heartbeat = heartbeat.clone();
            self.send(&FeedMessage::Heartbeat(heartbeat)).await?;
        }
        Ok(())
    }

    /// Sends the demand of domains that is due, to entries only.
    async fn send_demand(&mut self) -> Result<(), TransportError> {
        if self.hello.control.is_some() {
            return Ok(());
        }
        let now = std::time::Instant::now();
        let published = self.source.published_demand(now);
        for figure in self.sent_demand.take_due(now, &published) {
            let message = FeedMessage::Demand {
                age_ms: figure.age_ms(std::time::Instant::now()),
                position: self.position_in(&figure.demand.domain),
                encoded: Arc::clone(&figure.encoded),
            };
            self.send(&message).await?;
        }
        Ok(())
    }

    /// Returns the position of the listener among the entries of a domain that report
    /// demand; nothing if it is of another domain.
    fn position_in(&self, domain: &str) -> Option<u16> {
        let demand = self.source.demand.borrow();
        let reporter = reporter_id(&self.hello.name);
        (*self.hello.domain == *domain)
            .then(|| demand.position(reporter))
            .flatten()
    }

    /// Sends upstreams in several messages, so that a listener on a slow link
    /// receives one within its timeout.
    async fn send_upstreams(&mut self, records: &[Record]) -> Result<(), TransportError> {
        for chunk in records.chunks(MAX_UPSTREAMS_PER_MESSAGE) {
            self.send(&FeedMessage::Upstreams(chunk.to_vec())).await?;
        }
        Ok(())
    }

    /// Returns the upstreams that have changed since the last call.
    fn take_unsent_upstreams(&mut self) -> Vec<Record> {
        let registry = self.source.registry.borrow();
        let records = registry.changes_after(self.sent_change);
        self.sent_change = registry.last_change();
        records
    }

    async fn send(&mut self, message: &FeedMessage) -> Result<(), TransportError> {
        let sent = timeout(WRITE_TIMEOUT, self.writer.send(message)).await;
        sent.map_err(|_| TransportError::Timeout)?
    }
}
