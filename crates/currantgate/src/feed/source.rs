//! The state that a control VM sends on all its feeds.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use currantgate_capacity::ServiceDemand;
use currantgate_control::{Change, PublishedEvacuations, RecentChanges, RevisionId, Update};
use currantgate_observation::{FleetObservations, FleetSettings, SlowUpstream, reporter_id};
use currantgate_registry::UpstreamRegistry;
use currantgate_warmup::{PermitsAnswer, PermitsRequest};
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::Instant;

use super::demand_publisher::DemandPublisher;
use super::evacuated_flows::EntryFlows;
use super::evacuations;
use super::listeners::{FeedId, Listeners, list_slots};
use super::message::{EvacuationState, FeedHello, Heartbeat};
use super::permits::{LeaderPermits, PermitCounts};
use super::published_demand::PublishedDemand;
use super::status::{EvacuationStatus, FleetStatus};
use crate::control::{ControlHandle, FileCheck};

/// Time for which a control VM is listed in heartbeats after its last message.
const CONTROL_LISTING_TIME: Duration = Duration::from_secs(10);

/// Time without a report of demand after which the list of slow upstreams is empty: four
/// reports of an entry. When another control VM merges the reports, this list would no longer
/// change, while all entries use it.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(2);

/// The state that a control VM sends on all its feeds.
pub(crate) struct FeedSource {
    pub(crate) registry: RefCell<UpstreamRegistry>,
    /// Returns the services that a file names.
    check: FileCheck,
    pub(super) changes: RefCell<RecentChanges>,
    /// Encoded updates to the newest change, by their base.
    packed: RefCell<IndexMap<RevisionId, Arc<[u8]>>>,
    handle: RefCell<Option<ControlHandle>>,
    /// Counter of changes, which wakes the feeds to send them at once.
    pub(super) changed: watch::Sender<u64>,
    /// Other control VMs, with the time of the last message from each.
    controls: RefCell<IndexMap<SocketAddr, Instant>>,
    own_address: Cell<Option<SocketAddr>>,
    pub(super) listeners: RefCell<Listeners>,
    evacuations: RefCell<PublishedEvacuations>,
    /// What the entries that report here have observed.
    pub(super) observations: RefCell<FleetObservations>,
    /// Permits for cold upstreams, issued while this VM holds the leader's lease.
    permits: RefCell<LeaderPermits>,
    /// Demand of the callers of the entries that report here.
    pub(super) demand: RefCell<DemandPublisher>,
    /// Time until which the last report of demand counts; nothing before an entry has
    /// reported any, and so measures slowness by work.
    reports_end_at: Cell<Option<std::time::Instant>>,
    /// Slow upstreams that the feeds send, replaced only when they change.
    slow: RefCell<Rc<[SlowUpstream]>>,
}

impl FeedSource {
    pub(crate) fn new(registry: UpstreamRegistry, check: FileCheck) -> Self {
        Self {
            registry: RefCell::new(registry),
            check,
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
            reports_end_at: Cell::new(None),
            slow: RefCell::default(),
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
    ///
    /// Where demand is shared, a change wakes all feeds, so that they send it at once.
    pub(crate) fn slow_upstreams(&self) -> Rc<[SlowUpstream]> {
        let now = std::time::Instant::now();
        let slow = self.observations.borrow_mut().slow_upstreams(now);
        let Some(reports_end_at) = self.reports_end_at.get() else {
            return slow;
        };
        let slow = if now < reports_end_at {
            slow
        } else {
            Rc::default()
        };
        if **self.slow.borrow() != *slow {
            *self.slow.borrow_mut() = slow;
            self.notify();
        }
        Rc::clone(&self.slow.borrow())
    }

    /// Returns whether an entry has reported demand to this control VM.
    pub(super) fn is_demand_shared(&self) -> bool {
        self.reports_end_at.get().is_some()
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

    /// Returns the entries with what they have reported of their flows in evacuated domains.
    pub(crate) fn evacuated_flows(&self) -> Vec<EntryFlows> {
        self.listeners.borrow().evacuated_flows()
    }

    /// Returns the evacuations if they have changed since change `sent`, which is updated.
    pub(super) fn take_unsent_evacuations(&self, sent: &mut u64) -> Option<EvacuationState> {
        let evacuations = self.evacuations.borrow();
        let change = evacuations.change();
        if std::mem::replace(sent, change) == change {
            return None;
        }
        evacuations::to_message(&evacuations, std::time::Instant::now())
    }

    /// Returns whether entries get no upstreams yet.
    pub(super) fn holds_upstreams(&self) -> bool {
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

    pub(super) fn published_demand(&self, now: std::time::Instant) -> Rc<[Rc<PublishedDemand>]> {
        let listeners = self.listeners.borrow();
        let mut demand = self.demand.borrow_mut();
        demand.published(now, listeners.entries_by_domain())
    }

    /// Adds an entry's report of demand; returns whether its numbers are valid.
    pub(super) fn record_demand(
        &self,
        from: &FeedHello,
        period: Duration,
        report: &[ServiceDemand],
    ) -> bool {
        let now = std::time::Instant::now();
        let reports_end_at = Some(now + REPORTS_TIMEOUT);
        if self.reports_end_at.replace(reports_end_at).is_none() {
            let settings = FleetSettings::with_demand();
            self.observations.borrow_mut().set_settings(settings);
        }
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

    pub(super) fn heartbeat(&self) -> Heartbeat {
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
    pub(super) fn issue_permits(
        &self,
        feed: FeedId,
        request: &PermitsRequest,
    ) -> Option<PermitsAnswer> {
        let handle = self.handle.borrow();
        let lease_term = handle.as_ref().and_then(ControlHandle::lease_term);
        let mut permits = self.permits.borrow_mut();
        permits.answer(std::time::Instant::now(), lease_term, feed, request)
    }

    /// Publishes a change that is in force. One that is not newer is ignored.
    pub(crate) fn publish(&self, change: Arc<Change>) {
        if self.changes.borrow_mut().publish(change) {
            self.update_services();
            self.packed.borrow_mut().clear();
            self.notify();
        }
    }

    /// Has the registry take reports of the services that the newest change names.
    fn update_services(&self) {
        let Some(newest) = self.newest_change() else {
            return;
        };
        match (self.check)(&newest.text) {
            Ok(services) => self.registry.borrow_mut().set_services(services),
            // A VM of another release has accepted it.
            Err(e) => log::error!(
                "the services of revision {} are unknown: {e}",
                newest.revision
            ),
        }
    }

    /// Returns the newest change.
    pub(crate) fn newest_change(&self) -> Option<Arc<Change>> {
        self.changes.borrow().newest_change().cloned()
    }

    /// Returns the encoded update from `base` to the newest change.
    pub(super) fn update_from(&self, base: RevisionId) -> Option<Arc<[u8]>> {
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
    pub(super) fn record_listener(&self, hello: &FeedHello) {
        let Some((id, address)) = hello.control else {
            return;
        };
        self.record_control(address);
        if let Some(handle) = &*self.handle.borrow() {
            handle.record_contact(id, address, &hello.domain);
        }
    }

    /// Records that the feed of a listener has ended, if it is a control VM.
    pub(super) fn record_disconnect(&self, hello: &FeedHello) {
        if let (Some((id, _)), Some(handle)) = (hello.control, &*self.handle.borrow()) {
            handle.record_disconnect(id);
        }
    }
}
