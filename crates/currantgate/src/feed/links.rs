//! One feed to each control VM that is known.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use currantgate_control::{Revision, Secret};
use indexmap::IndexMap;
use tokio::sync::mpsc;

use super::client::keep_feed;
use super::message::{FeedHello, FeedMessage, FeedRequest};
use super::revision_tracker::UpdateRequest;

/// Requests that may wait for one feed; more are sent again later.
const REQUEST_QUEUE: usize = 8;

/// How long a control VM that no one lists is still tried: longer than the
/// longest outage after which it may come back at its address.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// News of the feeds.
#[derive(Debug)]
pub(crate) enum FeedEvent {
    /// A feed has opened; what it tells follows.
    Up(SocketAddr),
    /// A message has come.
    Message(SocketAddr, FeedMessage),
    /// A feed is lost.
    Down(SocketAddr),
}

/// Settings of the feeds of one process.
#[derive(Clone, Debug)]
pub(crate) struct FeedLinksSettings {
    /// How the process introduces itself.
    pub(crate) hello: FeedHello,
    /// The secret that messages are authenticated with.
    pub(crate) secret: Secret,
    /// The process's own address, which it needs no feed of.
    pub(crate) own: Option<SocketAddr>,
}

struct Link {
    requests: mpsc::Sender<FeedRequest>,
    task: JoinHandle<()>,
    listed: Instant,
    is_up: bool,
}

/// One feed to each control VM that is known.
pub(crate) struct FeedLinks {
    settings: FeedLinksSettings,
    seeds: Vec<SocketAddr>,
    links: IndexMap<SocketAddr, Link>,
    events_tx: mpsc::UnboundedSender<FeedEvent>,
    /// The revision that the process holds, which feeds tell.
    held: Rc<Cell<Revision>>,
}

impl FeedLinks {
    /// Opens feeds to the seeds; the events come from the returned receiver.
    pub(crate) fn start(
        settings: FeedLinksSettings,
        seeds: Vec<SocketAddr>,
    ) -> (Self, mpsc::UnboundedReceiver<FeedEvent>) {
        let (events_tx, events) = mpsc::unbounded_channel();
        let mut links = Self {
            settings,
            seeds: Vec::new(),
            links: IndexMap::new(),
            events_tx,
            held: Rc::default(),
        };
        links.set_seeds(seeds);
        (links, events)
    }

    /// Notes the revision that the process holds.
    pub(crate) fn set_held(&self, revision: Revision) {
        self.held.set(revision);
    }

    /// Replaces the control VMs that are known from the settings.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        let seeds = self.seeds.clone();
        self.list(&seeds);
    }

    /// Notes control VMs that another one lists.
    pub(crate) fn list(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.list_one(*address);
        }
    }

    fn list_one(&mut self, address: SocketAddr) {
        if Some(address) == self.settings.own {
            return;
        }
        let now = Instant::now();
        if let Some(link) = self.links.get_mut(&address) {
            link.listed = now;
            return;
        }
        let (requests, rx) = mpsc::channel(REQUEST_QUEUE);
        let settings = &self.settings;
        let task = actix_rt::spawn(keep_feed(
            address,
            settings.secret,
            settings.hello.clone(),
            Rc::clone(&self.held),
            rx,
            self.events_tx.clone(),
        ));
        log::info!("control VM at {address} is known");
        let link = Link {
            requests,
            task,
            listed: now,
            is_up: false,
        };
        self.links.insert(address, link);
    }

    /// Notes whether a feed is open, and what control VMs it lists.
    pub(crate) fn note(&mut self, event: &FeedEvent) {
        match event {
            FeedEvent::Up(address) => self.set_up(*address, true),
            FeedEvent::Down(address) => self.set_up(*address, false),
            FeedEvent::Message(_, FeedMessage::Heartbeat(state)) => self.list(&state.controls),
            FeedEvent::Message(..) => {}
        }
    }

    fn set_up(&mut self, address: SocketAddr, is_up: bool) {
        if let Some(link) = self.links.get_mut(&address) {
            link.is_up = is_up;
        }
    }

    /// Lets go of control VMs that are no longer listed anywhere.
    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        let seeds = &self.seeds;
        self.links.retain(|address, link| {
            link.is_up || seeds.contains(address) || now < link.listed + KEPT_FOR
        });
    }

    /// Requests a newer change. A request that can't be queued is dropped; the
    /// caller repeats it after a timeout.
    pub(crate) fn request_update(&self, update: UpdateRequest) {
        let request = FeedRequest::Update {
            min_revision: update.revision,
            base: update.base,
        };
        let link = self.links.get(&update.to);
        if link.is_none_or(|link| link.requests.try_send(request).is_err()) {
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
