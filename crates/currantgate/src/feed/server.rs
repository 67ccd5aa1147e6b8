//! The control VM's side of a feed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use currantgate_control::{
    Change, FrameWriter, IncomingStream, RecentChanges, RevisionId, TransportError, Update,
};
use currantgate_registry::{ChangeNumber, Record, UpstreamRegistry};
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::listeners::{FeedNumber, Listeners};
use super::message::{FeedHello, FeedMessage, FeedRequest, Heartbeat};
use super::status::FleetStatus;
use crate::control::ControlHandle;

/// How often a feed tells that it is alive. A listener turns away after three.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a listener counts as gone: three of its messages.
const LISTENER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long a listener may take to accept a message; a feed that is stuck is
/// opened again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long a control VM is told of after it was last heard.
const CONTROL_LISTED_FOR: Duration = Duration::from_secs(10);

/// Upstreams in one message: some 10 KB, 40 ms of a link of 2 Mbit/s, so that the
/// messages of several feeds get through within a listener's patience.
const UPSTREAMS_PER_MESSAGE: usize = 100;

/// What all feeds of a control VM tell.
pub(crate) struct FeedSource {
    pub(crate) registry: RefCell<UpstreamRegistry>,
    changes: RefCell<RecentChanges>,
    /// Updates to the newest change as they are sent, by what they start from.
    packed: RefCell<IndexMap<RevisionId, Arc<[u8]>>>,
    handle: RefCell<Option<ControlHandle>>,
    /// Counts changes that feeds tell at once.
    changed: watch::Sender<u64>,
    /// Control VMs and when each was last heard.
    controls: RefCell<IndexMap<SocketAddr, Instant>>,
    own_address: Cell<Option<SocketAddr>>,
    listeners: RefCell<Listeners>,
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
        }
    }

    /// Completes the source once the control VM listens.
    pub(crate) fn set_control(&self, own: SocketAddr, handle: ControlHandle) {
        self.own_address.set(Some(own));
        *self.handle.borrow_mut() = Some(handle);
    }

    /// Returns how many feeds are open.
    pub(crate) fn listeners(&self) -> usize {
        self.changed.receiver_count()
    }

    /// Returns what operators see of the fleet.
    pub(crate) fn fleet(&self) -> FleetStatus {
        let listeners = self.listeners.borrow();
        listeners.status(Instant::now(), &self.registry.borrow())
    }

    /// Wakes all feeds.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notes that a control VM is alive.
    pub(crate) fn heard_control(&self, address: SocketAddr) {
        self.controls.borrow_mut().insert(address, Instant::now());
    }

    /// Returns the control VMs that were heard lately, and this one.
    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut controls = self.controls.borrow_mut();
        controls.retain(|_, heard| now < *heard + CONTROL_LISTED_FOR);
        self.own_address
            .get()
            .into_iter()
            .chain(controls.keys().copied())
            .collect()
    }

    fn heartbeat(&self) -> Heartbeat {
        let handle = self.handle.borrow();
        let handle = handle.as_ref();
        Heartbeat {
            revision: self.changes.borrow().newest().revision,
            is_in_quorum: handle.is_some_and(ControlHandle::is_in_quorum),
            leader: handle.and_then(|h| h.leader()).map(|(_, address)| address),
            controls: self.controls(),
        }
    }

    /// Takes a change that is in force; an older one is ignored.
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

    /// Returns what makes the newest change for a listener that has `have`.
    fn update_from(&self, have: RevisionId) -> Option<Arc<[u8]>> {
        let update = self.changes.borrow_mut().update_from(have)?;
        // A whole file is the same for all whose revision is not known here.
        let from = match *update {
            Update::Full(_) => RevisionId::empty(),
            Update::Delta { from, .. } => from,
        };
        let mut packed = self.packed.borrow_mut();
        let packed = packed.entry(from).or_insert_with(|| update.pack().into());
        Some(Arc::clone(packed))
    }

    fn heard(&self, hello: &FeedHello) {
        let Some((id, address)) = hello.control else {
            return;
        };
        self.heard_control(address);
        if let Some(handle) = &*self.handle.borrow() {
            handle.heard(id, address, &hello.domain);
        }
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.source.listeners.borrow_mut().remove(self.number);
    }
}

/// Serves one feed until its listener is gone.
pub(crate) async fn serve_feed(source: Rc<FeedSource>, incoming: IncomingStream) {
    let from = incoming.from;
    match Feed::open(source, incoming).await {
        Ok(mut feed) => {
            let name = feed.hello.name.clone();
            log::info!(event = "listener", listener = &*name, address:% = from; "feed is open");
            if let Err(e) = feed.run().await {
                log::info!(
                    event = "listener",
                    listener = &*name,
                    address:% = from;
                    "feed has ended: {e}"
                );
            }
        }
        Err(e) => log::warn!("a feed from {from} could not start: {e}"),
    }
}

struct Feed {
    source: Rc<FeedSource>,
    hello: FeedHello,
    number: FeedNumber,
    writer: FrameWriter,
    reader: currantgate_control::FrameReader,
    last_heartbeat: Heartbeat,
    told_change: ChangeNumber,
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
        let number = source.listeners.borrow_mut().add(now, hello.clone());
        Ok(Self {
            source,
            hello,
            number,
            writer,
            reader,
            last_heartbeat: Heartbeat::default(),
            told_change: 0,
            heartbeat_due: now,
            listener_deadline: now + LISTENER_TIMEOUT,
        })
    }

    async fn run(&mut self) -> Result<(), TransportError> {
        let mut changed = self.source.changed.subscribe();
        self.source.heard(&self.hello);
        loop {
            self.tell_news().await?;
            tokio::select! {
                request = self.reader.next::<FeedRequest>() => {
                    let request = request?.ok_or(TransportError::Truncated)?;
                    let now = Instant::now();
                    self.listener_deadline = now + LISTENER_TIMEOUT;
                    let revision = request.held_revision();
                    self.source.listeners.borrow_mut().heard(now, self.number, revision);
                    self.source.heard(&self.hello);
                    self.take(&request).await?;
                }
                _ = changed.changed() => {}
                () = sleep_until(self.heartbeat_due) => {}
                () = sleep_until(self.listener_deadline) => return Err(TransportError::Timeout),
            }
        }
    }

    async fn take(&mut self, request: &FeedRequest) -> Result<(), TransportError> {
        let FeedRequest::Update { min_revision, base } = request else {
            return Ok(());
        };
        if self.source.changes.borrow().newest().revision < *min_revision {
            return Ok(());
        }
        match self.source.update_from(*base) {
            Some(packed) => self.send(&FeedMessage::Update(packed)).await,
            None => Ok(()),
        }
    }

    async fn tell_news(&mut self) -> Result<(), TransportError> {
        if self.hello.control.is_none() {
            let records = self.upstreams_since_told();
            self.tell_upstreams(&records).await?;
            let mut listeners = self.source.listeners.borrow_mut();
            listeners.told(self.number, self.told_change);
        }
        let heartbeat = self.source.heartbeat();
        let now = Instant::now();
        if heartbeat != self.last_heartbeat || now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            self.last_heartbeat = heartbeat.clone();
            self.send(&FeedMessage::Heartbeat(heartbeat)).await?;
        }
        Ok(())
    }

    /// Tells of upstreams, some at a time: a listener on a slow link takes each
    /// message as a sign of life.
    async fn tell_upstreams(&mut self, records: &[Record]) -> Result<(), TransportError> {
        for some in records.chunks(UPSTREAMS_PER_MESSAGE) {
            self.send(&FeedMessage::Upstreams(some.to_vec())).await?;
        }
        Ok(())
    }

    fn upstreams_since_told(&mut self) -> Vec<Record> {
        let registry = self.source.registry.borrow();
        let records = registry.changes_after(self.told_change);
        self.told_change = registry.last_change();
        records
    }

    async fn send(&mut self, message: &FeedMessage) -> Result<(), TransportError> {
        let sent = timeout(WRITE_TIMEOUT, self.writer.send(message)).await;
        sent.map_err(|_| TransportError::Timeout)?
    }
}
