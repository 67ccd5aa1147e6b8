//! The feeds that a process receives, one from each known control VM.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use currantgate_capacity::ServiceDemand;
use currantgate_control::{Revision, Secret};
use currantgate_observation::{Observation, UnansweredPackets, choose_collector};
use currantgate_warmup::PermitsRequest;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use super::client::{FeedShared, run_feed};
use super::evacuated_flows::EvacuatedFlows;
use super::message::{FeedHello, FeedMessage, FeedRequest};
use super::revision_tracker::UpdateRequest;

/// Most requests queued for one feed; further ones are dropped and sent again
/// later.
const MAX_QUEUED_REQUESTS: usize = 8;

/// Time after which a control VM that is neither connected nor listed counts as unlisted, and is
/// tried less often.
const UNLISTED_AFTER: Duration = Duration::from_secs(30);

/// Most unlisted control VMs that are tried. An outage or a cut can last for any time, so that
/// the last ones are never forgotten; more than a site has of them were removed.
const MAX_UNLISTED: usize = 16;

/// An event of a feed, with the address of the control VM.
#[derive(Debug)]
pub(crate) enum FeedEvent {
    /// A feed has opened; its messages follow.
    Connected(SocketAddr),
    /// A message has been received.
    Message(SocketAddr, FeedMessage),
    /// A feed has been lost.
    Disconnected(SocketAddr),
}

/// Settings of the feeds of one process.
#[derive(Clone, Debug)]
pub(crate) struct FeedLinksSettings {
    /// The first message on each feed, which identifies the process.
    pub(crate) hello: FeedHello,
    /// Secret that authenticates messages.
    pub(crate) secret: Secret,
    /// The process's own address if it is a control VM; no feed is opened to it.
    pub(crate) own: Option<SocketAddr>,
}

/// The feed from one control VM.
struct Link {
    requests: mpsc::Sender<FeedRequest>,
    task: JoinHandle<()>,
    last_listed: Instant,
    is_connected: bool,
    is_unlisted: Rc<Cell<bool>>,
}

/// The feeds that a process receives, one from each known control VM.
pub(crate) struct FeedLinks {
    shared: Rc<FeedShared>,
    /// The process's own address if it is a control VM.
    own: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    links: IndexMap<SocketAddr, Link>,
    events_tx: mpsc::UnboundedSender<FeedEvent>,
}

impl FeedLinks {
    /// Opens feeds from the seeds; their events are sent to the returned receiver.
    pub(crate) fn start(
        settings: FeedLinksSettings,
        seeds: Vec<SocketAddr>,
    ) -> (Self, mpsc::UnboundedReceiver<FeedEvent>) {
        let (events_tx, events) = mpsc::unbounded_channel();
        let mut links = Self {
            shared: Rc::new(FeedShared {
                secret: settings.secret,
                hello: settings.hello,
                revision: Cell::default(),
                evacuations: Cell::new(0),
                had_quorum: Cell::new(false),
                isolated_since: Cell::new(Some(Instant::now())),
            }),
            own: settings.own,
            seeds: Vec::new(),
            links: IndexMap::new(),
            events_tx,
        };
        links.set_seeds(seeds);
        (links, events)
    }

    /// Sets the revision that the heartbeats report.
    pub(crate) fn set_revision(&self, revision: Revision) {
        self.shared.revision.set(revision);
    }

    /// Replaces the control VMs that the settings list.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        let seeds = self.seeds.clone();
        self.track(&seeds);
    }

    /// Opens feeds from the control VMs at `addresses`, or notes that they are
    /// still listed.
    pub(crate) fn track(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.track_one(*address);
        }
    }

    fn track_one(&mut self, address: SocketAddr) {
        if Some(address) == self.own {
            return;
        }
        let now = Instant::now();
        if let Some(link) = self.links.get_mut(&address) {
            link.last_listed = now;
            link.is_unlisted.set(false);
            return;
        }
        let (requests, rx) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let is_unlisted = Rc::new(Cell::new(false));
        let task = actix_rt::spawn(run_feed(
            address,
            Rc::clone(&self.shared),
            Rc::clone(&is_unlisted),
            rx,
            self.events_tx.clone(),
        ));
        log::info!("opening a feed from the control VM at {address}");
        let link = Link {
            requests,
            task,
            last_listed: now,
            is_connected: false,
            is_unlisted,
        };
        self.links.insert(address, link);
    }

    /// Tracks whether a feed is open, and the control VMs that its heartbeats list.
    pub(crate) fn handle_event(&mut self, event: &FeedEvent) {
        match event {
            FeedEvent::Connected(address) => self.set_connected(*address, true),
            FeedEvent::Disconnected(address) => self.set_connected(*address, false),
            FeedEvent::Message(_, FeedMessage::Heartbeat(state)) => self.track(&state.controls),
            FeedEvent::Message(..) => {}
        }
    }

    fn set_connected(&mut self, address: SocketAddr, is_connected: bool) {
        if let Some(link) = self.links.get_mut(&address) {
            link.is_connected = is_connected;
        }
        let is_isolated = self.links.values().all(|link| !link.is_connected);
        let since = &self.shared.isolated_since;
        since.set(is_isolated.then(|| since.get().unwrap_or_else(Instant::now)));
    }

    /// Updates which control VMs are unlisted, and removes those beyond the limit that were
    /// listed the longest time ago.
    pub(crate) fn update_unlisted(&mut self) {
        let now = Instant::now();
        let mut unlisted = Vec::new();
        for (address, link) in &self.links {
            let is_unlisted = !link.is_connected
                && !self.seeds.contains(address)
                && now >= link.last_listed + UNLISTED_AFTER;
            link.is_unlisted.set(is_unlisted);
            if is_unlisted {
                unlisted.push((link.last_listed, *address));
            }
        }
        unlisted.sort_unstable();
        let excess = unlisted.len().saturating_sub(MAX_UNLISTED);
        for (_, address) in &unlisted[..excess] {
            log::info!("the control VM at {address} is forgotten: it is no longer listed");
            self.links.shift_remove(address);
        }
    }

    /// Returns the control VM that merges observations for this process, if a feed is
    /// open.
    pub(crate) fn collector(&self) -> Option<SocketAddr> {
        choose_collector(&self.shared.hello.domain, self.connected())
    }

    /// Reports observations to a control VM. A report that can't be queued is dropped.
    pub(crate) fn report_observations(&self, to: SocketAddr, observations: Vec<Observation>) {
        let request = FeedRequest::Observations {
            revision: self.shared.revision.get(),
            observations,
        };
        if !self.queue(to, request) {
            log::debug!("a report of observations to {to} is dropped");
        }
    }

    /// Reports first packets that were not answered. A report that can't be queued is
    /// dropped: reports of observations include the packets that are retransmitted.
    pub(crate) fn report_unanswered(&self, to: SocketAddr, upstreams: Vec<UnansweredPackets>) {
        let request = FeedRequest::Unanswered {
            revision: self.shared.revision.get(),
            upstreams,
        };
        if !self.queue(to, request) {
            log::debug!("a report of unanswered packets to {to} is dropped");
        }
    }

    /// Requests permits for cold upstreams from the leader. A request that can't be sent at
    /// once is dropped: its permits would have expired when the feed opens.
    pub(crate) fn request_permits(&self, to: SocketAddr, request: PermitsRequest) {
        let request = FeedRequest::WarmupPermits {
            revision: self.shared.revision.get(),
            request,
        };
        let is_connected = self.links.get(&to).is_some_and(|link| link.is_connected);
        if !is_connected || !self.queue(to, request) {
            log::debug!("a request for permits to {to} is dropped");
        }
    }

    /// Reports the demand of a period to a control VM; returns whether the report is
    /// queued.
    pub(crate) fn report_demand(
        &self,
        to: SocketAddr,
        period: Duration,
        demand: &[ServiceDemand],
    ) -> bool {
        let request = FeedRequest::Demand {
            revision: self.shared.revision.get(),
            period_ms: u16::try_from(period.as_millis()).unwrap_or(u16::MAX),
            demand: demand.to_vec(),
        };
        self.queue(to, request)
    }

    /// Returns the control VMs from which a feed is open.
    pub(crate) fn connected(&self) -> impl Iterator<Item = SocketAddr> {
        let connected = self.links.iter().filter(|(_, link)| link.is_connected);
        connected.map(|(address, _)| *address)
    }

    /// Reports open flows in evacuated domains to a control VM; returns whether the report
    /// is queued.
    pub(crate) fn report_evacuated_flows(&self, to: SocketAddr, flows: EvacuatedFlows) -> bool {
        let request = FeedRequest::EvacuatedFlows {
            revision: self.shared.revision.get(),
            flows,
        };
        self.queue(to, request)
    }

    /// Queues a request for the feed of a control VM; returns whether there was room.
    fn queue(&self, to: SocketAddr, request: FeedRequest) -> bool {
        let link = self.links.get(&to);
        link.is_some_and(|link| link.requests.try_send(request).is_ok())
    }

    /// Requests a newer change. A request that can't be queued is dropped, and
    /// sent again after its timeout.
    pub(crate) fn request_update(&self, update: UpdateRequest) {
        let request = FeedRequest::Update {
            min_revision: update.revision,
            base: update.base,
        };
        if !self.queue(update.to, request) {
            log::debug!(
                "a request to {} for revision {} is dropped",
                update.to,
                update.revision
            );
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}
