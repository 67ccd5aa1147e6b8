//! A running control node.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use currantgate_config::{ControlSettings, Prefix};
use currantgate_control::{
    Change, Folder, Incoming, Journal, Members, Recovered, Saved, VersionedRequest, VoterId,
    VoterPlan, VoterPlanSettings,
};
use currantgate_registry::{ChangeNumber, Record, Registry as Upstreams, RegistrySettings, Report};
use futures_util::FutureExt as _;
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

use super::metrics::NodeMetrics;
use super::peer_feeds::{ADOPTED_FILE, LeaderHint, PeerFeeds};
use super::{NodeError, NodeSettings, identity, persistence};
use crate::control::{Control, ControlHandle, Extension, FileCheck, VersionedAnswer, use_listener};
use crate::feed::{
    FEED_PATH, FeedEvent, FeedHello, FeedLinks, FeedLinksSettings, FeedSource, Held, serve_feed,
};

/// How often the registry is looked through for silent upstreams: a fraction
/// of the time after which they count as silent.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(250);

/// The most connections at a time: one for each entry and control VM, and as
/// many again that are being replaced, within the descriptors of a small VM.
const MAX_CONNECTIONS: u32 = 2_048;

/// How long a node stays after it gave up the lead: a round of messages, so that
/// callers hear where to go.
const STOP_WAIT: Duration = Duration::from_millis(200);

/// How long another VM's word on who leads is good: two of its messages.
const LEADER_KNOWN_FOR: Duration = Duration::from_millis(1_200);

/// A running control node; it stops when it is dropped.
pub struct ControlNode {
    control: Control,
    handle: ControlHandle,
    source: Rc<FeedSource>,
    leader_hint: LeaderHint,
    seeds_tx: watch::Sender<Vec<SocketAddr>>,
    metrics: NodeMetrics,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlNode {
    /// Starts a control node on the current thread's runtime; `check` tells
    /// whether a configuration is valid.
    ///
    /// # Errors
    ///
    /// Returns an error when the data folder or the listener can't be used.
    pub fn start(
        settings: &NodeSettings,
        check: FileCheck,
        listener: TcpListener,
    ) -> Result<Self, NodeError> {
        let mut folder = open_folder(settings)?;
        let mut files = KeptFiles::open(&folder);
        let (id, opened) = open_state(settings, &mut folder)?;
        let (_, listener) = use_listener(settings.listen, listener)?;
        let own = settings.listen;
        let source = start_source(settings, &mut files);
        let control = Control::run(
            &control_settings(settings, id),
            opened,
            (own, listener),
            serving_feeds(check, &source),
        )?;
        let handle = control.handle();
        let plan = VoterPlanSettings {
            target: settings.voters(),
            ..VoterPlanSettings::default()
        };
        handle.set_plan(VoterPlan::new(plan, Instant::now()));
        source.set_control(own, handle.clone());
        let leader_hint = LeaderHint::default();
        let (seeds_tx, seeds) = watch::channel(settings.seeds.clone());
        let (links, events) = start_links(settings, id, own);
        let peer_feeds = PeerFeeds {
            links,
            source: Rc::clone(&source),
            handle: handle.clone(),
            held: Held::default(),
            adopted: persistence::spawn_writer(files.adopted, ADOPTED_FILE),
            leader_hint: Rc::clone(&leader_hint),
        };
        let metrics = NodeMetrics::default();
        let upstreams = persistence::spawn_writer(files.upstreams, persistence::UPSTREAMS_FILE);
        let tasks = vec![
            actix_rt::spawn(watch_registry(Rc::clone(&source), metrics.clone())),
            actix_rt::spawn(persistence::persist_upstreams(
                Rc::clone(&source),
                upstreams,
            )),
            actix_rt::spawn(announce_commits(Rc::clone(&source), handle.clone())),
            actix_rt::spawn(peer_feeds.run(events, seeds)),
        ];
        log::info!("control node {} runs as voter id {id}", settings.name);
        Ok(Self {
            control,
            handle,
            source,
            leader_hint,
            seeds_tx,
            metrics,
            tasks,
        })
    }

    /// Records an upstream's report and sends what has changed to entries;
    /// returns whether the report is the newest of its upstream.
    pub fn record_report(&self, report: Report) -> bool {
        let before = self.source.registry.borrow().last_change();
        let mut registry = self.source.registry.borrow_mut();
        let is_newest = registry.report(Instant::now(), report);
        drop(registry);
        tell_changes(&self.source, before);
        self.metrics.count_report(is_newest);
        is_newest
    }

    /// Records that an upstream has left and sends the change to entries.
    /// Without `born_ms` the incarnation in the registry is meant.
    pub fn deregister(&self, id: &str, born_ms: Option<u64>) {
        let before = self.source.registry.borrow().last_change();
        let mut registry = self.source.registry.borrow_mut();
        registry.leave(Instant::now(), id, born_ms);
        drop(registry);
        tell_changes(&self.source, before);
    }

    /// Puts a configuration in force whose author numbered it.
    pub async fn apply(&self, request: VersionedRequest) -> VersionedAnswer {
        let asked = Instant::now();
        let answer = self.handle.apply_version(request).await;
        self.metrics.observe_commit(asked.elapsed().as_secs_f64());
        answer
    }

    /// Returns the accepted configuration as a quorum confirms it.
    ///
    /// # Errors
    ///
    /// Returns why this node can't tell.
    pub async fn read(&self) -> currantgate_control::ReadAnswer {
        self.handle.read_confirmed().await
    }

    /// Returns where the leader listens for control VMs, if it is another one.
    pub fn other_leader(&self) -> Option<SocketAddr> {
        let own = self.control.address();
        let known = self.handle.leader().map(|(_, address)| address);
        let heard = self.leader_hint.get();
        let heard = heard.filter(|(_, at)| at.elapsed() < LEADER_KNOWN_FOR);
        known
            .or(heard.map(|(address, _)| address))
            .filter(|address| *address != own)
    }

    /// Replaces the control VMs that are known from the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds_tx.send_replace(seeds);
    }

    /// Gives up the lead before a planned stop, and stays until others have heard
    /// of it.
    pub async fn prepare_stop(&self) {
        self.handle.resign();
        actix_rt::time::sleep(STOP_WAIT).await;
    }

    /// Adds the node's metrics to those of the process.
    pub fn register_metrics(&self, registry: &mut Registry) {
        self.control.register_metrics(registry);
        self.metrics.register(registry);
    }

    /// Waits until the disk fails, after which the node takes no further part in
    /// the consensus.
    pub async fn wait_for_disk_failure(&self) {
        self.control.failed().await;
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The files of a node beside its journal.
struct KeptFiles {
    upstreams: Saved<Folder, Vec<Record>>,
    adopted: Saved<Folder, Change>,
}

impl KeptFiles {
    fn open(folder: &Folder) -> Self {
        Self {
            upstreams: Saved::new(folder.share(), persistence::UPSTREAMS_FILE),
            adopted: Saved::new(folder.share(), ADOPTED_FILE),
        }
    }
}

/// Returns what feeds tell, with what is known from before a restart.
fn start_source(settings: &NodeSettings, files: &mut KeptFiles) -> Rc<FeedSource> {
    let registry = RegistrySettings::for_interval(settings.report_interval);
    let mut registry = Upstreams::new(registry);
    let known = persistence::load(&mut files.upstreams, persistence::UPSTREAMS_FILE);
    registry.restore(Instant::now(), known.unwrap_or_default());
    let source = Rc::new(FeedSource::new(registry));
    if let Some(change) = persistence::load(&mut files.adopted, ADOPTED_FILE) {
        source.publish(Arc::new(change));
    }
    source
}

/// Returns what the node adds to a control VM: its check of files, and feeds.
fn serving_feeds(check: FileCheck, source: &Rc<FeedSource>) -> Extension {
    let source = Rc::clone(source);
    // The source holds the control VM, which holds this view of it.
    let fleet = Rc::downgrade(&source);
    let serve = move |incoming: Incoming| {
        let source = Rc::clone(&source);
        async move {
            if &*incoming.path == FEED_PATH {
                serve_feed(source, incoming).await;
            } else {
                log::warn!("{} asks for {}", incoming.from, incoming.path);
            }
        }
        .boxed_local()
    };
    Extension {
        check,
        serve: Some(Rc::new(serve)),
        fleet: Some(Rc::new(move || {
            fleet
                .upgrade()
                .map(|source| source.fleet())
                .unwrap_or_default()
        })),
    }
}

fn control_settings(settings: &NodeSettings, id: VoterId) -> ControlSettings {
    ControlSettings {
        id,
        domain: settings.domain.clone(),
        data: settings.data.clone(),
        listen: settings.listen,
        metrics: None,
        key: settings.key,
        // Entries come and go at addresses that nobody lists.
        allow: vec![Prefix::any_v4()],
        max_connections: MAX_CONNECTIONS,
        voters: Vec::new(),
        fan_out_of: Vec::new(),
    }
}

fn open_folder(settings: &NodeSettings) -> Result<Folder, NodeError> {
    Folder::open(&settings.data).map_err(|source| NodeError::Folder {
        folder: settings.data.display().to_string().into(),
        source,
    })
}

/// Opens the VM's durable state, or begins it.
fn open_state(
    settings: &NodeSettings,
    folder: &mut Folder,
) -> Result<(VoterId, (Journal<Folder>, Recovered)), NodeError> {
    let storage_error = |source| NodeError::Storage {
        folder: settings.data.display().to_string().into(),
        source,
    };
    let id = identity::load(folder).map_err(storage_error)?;
    if let Some(id) = id
        && Journal::exists(folder).map_err(storage_error)?
    {
        log::info!("the data folder holds the state of voter {id}");
        return Ok((id, Journal::open(folder.share()).map_err(storage_error)?));
    }
    let voters = identity::first_voters(&settings.seeds);
    let own = voters.iter().find(|(_, a)| *a == settings.listen);
    let first = own.filter(|_| settings.is_first_voter());
    let id = first.map_or_else(identity::generate, |(id, _)| *id);
    identity::save(folder, id).map_err(storage_error)?;
    let opened = if first.is_some() {
        log::info!("this VM is first voter {id} of a new site: {voters:?}");
        Journal::init(folder.share(), Members::new(voters))
    } else {
        log::info!("this VM joins as {id}");
        Journal::join(folder.share())
    };
    Ok((id, opened.map_err(storage_error)?))
}

fn start_links(
    settings: &NodeSettings,
    id: VoterId,
    own: SocketAddr,
) -> (FeedLinks, mpsc::UnboundedReceiver<FeedEvent>) {
    let links = FeedLinksSettings {
        hello: FeedHello {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            control: Some((id, own)),
        },
        secret: *settings.key.bytes(),
        own: Some(own),
    };
    FeedLinks::start(links, settings.seeds.clone())
}

async fn watch_registry(source: Rc<FeedSource>, metrics: NodeMetrics) {
    let mut interval = actix_rt::time::interval(REGISTRY_INTERVAL);
    loop {
        interval.tick().await;
        let before = source.registry.borrow().last_change();
        source.registry.borrow_mut().tick(Instant::now());
        tell_changes(&source, before);
        metrics.set_state(source.registry.borrow().iter(), source.listeners());
    }
}

/// Logs what has changed of upstreams, and wakes the feeds.
fn tell_changes(source: &FeedSource, before: ChangeNumber) {
    let records = source.registry.borrow().changed_after(before);
    for Record { report, is_silent } in &records {
        log::info!(
            event = "upstream",
            upstream = &*report.id,
            service = &*report.service,
            address:% = report.address,
            state:? = report.state,
            is_silent = *is_silent,
            born_ms = report.age.born_ms,
            sequence = report.age.sequence;
            "upstream has news"
        );
    }
    if !records.is_empty() {
        source.notify();
    }
}

async fn announce_commits(source: Rc<FeedSource>, handle: ControlHandle) {
    let mut committed = handle.committed();
    loop {
        let change = committed.borrow_and_update().clone();
        if let Some(change) = change {
            source.publish(change);
        }
        if committed.changed().await.is_err() {
            return;
        }
    }
}
