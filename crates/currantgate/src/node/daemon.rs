//! A running control node.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use currantgate_config::{ControlSettings, Prefix};
use currantgate_control::{
    Change, DataDirectory, EvacuationOrder, IncomingStream, Journal, Members, RecoveredState,
    ValueFile, VersionedRequest, VoterId, VoterPlanner, VoterPlannerSettings,
};
use currantgate_log::{RateLimit, RateLimiter};
use currantgate_registry::{
    ChangeNumber, Record, RegistrySettings, Report, UpstreamRegistry as Upstreams,
};
use futures_util::FutureExt as _;
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

use super::evacuations::{
    self, ADOPTED_EVACUATIONS_FILE, AdoptedEvacuations, AdoptedEvacuationsFile,
};
use super::metrics::NodeMetrics;
use super::peer_feeds::{ADOPTED_FILE, LeaderHint, PeerFeeds};
use super::persistence::LatestWriter;
use super::{NodeError, NodeSettings, identity, persistence};
use crate::control::{
    Control, ControlHandle, EvacuationReply, Extension, FileCheck, HandOver, VersionedAnswer,
    to_async_listener,
};
use crate::feed::{
    FEED_PATH, FeedEvent, FeedHello, FeedLinks, FeedLinksSettings, FeedSource, RevisionTracker,
    serve_feed,
};

/// Interval at which the registry is checked for silent upstreams, a fraction of
/// the time after which they count as silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Most connections at a time: one for each entry and control VM and as many
/// again that are being replaced, within the file descriptors of a small VM.
const MAX_CONNECTIONS: u32 = 2_048;

/// Time for which a node keeps running after it has handed over: one round of messages, so
/// that its callers are redirected to the new leader.
const RESIGN_WAIT: Duration = Duration::from_millis(200);

/// Time within which a stopping leader passes its lead on to a voter with all entries; after
/// it, the node only resigns, and the others hold an election.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a stop may take until the node's vote is handed over: an election, and the
/// catch-up of two standbys one after the other. It must stay below the time after which
/// processes that don't stop are killed.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Interval at which a stopping node asks the leader to replace it.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(50);

/// Rate of log lines about refused reports: another writer may send any number of them.
const REFUSED_REPORT_LIMIT: RateLimit = RateLimit {
    lines: 5,
    interval: Duration::from_secs(10),
};

/// Length to which the id of an upstream is cut in these lines, in bytes.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// Time for which the leader that another VM reports is used: two of that VM's
/// messages.
const LEADER_HINT_LIFETIME: Duration = Duration::from_millis(1_200);

/// A running control node, which stops when dropped.
pub struct ControlNode {
    control: Control,
    handle: ControlHandle,
    source: Rc<FeedSource>,
    leader_hint: LeaderHint,
    seeds_tx: watch::Sender<Vec<SocketAddr>>,
    metrics: NodeMetrics,
    refused_reports: RefCell<RateLimiter>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlNode {
    /// Starts a control node on the current thread's runtime; `check` validates
    /// configurations.
    ///
    /// # Errors
    ///
    /// Returns an error if the data directory or the listener can't be used.
    pub fn start(
        settings: &NodeSettings,
        check: FileCheck,
        listener: TcpListener,
    ) -> Result<Self, NodeError> {
        let mut directory = open_data_directory(settings)?;
        let mut files = StateFiles::open(&directory);
        let (id, opened) = open_state(settings, &mut directory)?;
        let (_, listener) = to_async_listener(settings.listen, listener)?;
        let own = settings.listen;
        let source = restore_source(settings, &check, &mut files);
        let control = Control::run(
            &control_settings(settings, id),
            opened,
            (own, listener),
            feed_extension(settings, check, &source),
        )?;
        let handle = control.handle();
        let local = handle.evacuations().borrow().clone();
        evacuations::restore(&source, &mut files.evacuations, &local);
        let planner = VoterPlannerSettings {
            min_voters: settings.min_voters(),
            tolerated_domains: settings.tolerated_domains,
            ..VoterPlannerSettings::default()
        };
        handle.set_planner(VoterPlanner::new(planner, Instant::now()));
        // The planner needs the domain of this VM as well.
        handle.record_contact(id, own, &settings.domain);
        source.set_control(own, handle.clone());
        let leader_hint = LeaderHint::default();
        let (seeds_tx, seeds) = watch::channel(settings.seeds.clone());
        let (links, events) = start_links(settings, id, own);
        let peer_feeds = PeerFeeds {
            links,
            source: Rc::clone(&source),
            handle: handle.clone(),
            revisions: RevisionTracker::default(),
            adopted: LatestWriter::spawn(files.adopted, ADOPTED_FILE),
            evacuations: AdoptedEvacuations::new(files.evacuations),
            leader_hint: Rc::clone(&leader_hint),
        };
        let metrics = NodeMetrics::default();
        let upstreams = persistence::spawn_writer(files.upstreams, persistence::UPSTREAMS_FILE);
        let tasks = vec![
            actix_rt::spawn(run_registry(Rc::clone(&source), metrics.clone())),
            actix_rt::spawn(persistence::persist_upstreams(
                Rc::clone(&source),
                upstreams,
            )),
            actix_rt::spawn(publish_commits(Rc::clone(&source), handle.clone())),
            actix_rt::spawn(evacuations::publish_commits(
                Rc::clone(&source),
                handle.clone(),
            )),
            actix_rt::spawn(peer_feeds.run(events, seeds)),
        ];
        log::info!(
            "control node {} is running with voter id {id}",
            settings.name
        );
        Ok(Self {
            control,
            handle,
            source,
            leader_hint,
            seeds_tx,
            metrics,
            refused_reports: RefCell::new(RateLimiter::new(REFUSED_REPORT_LIMIT, Instant::now())),
            tasks,
        })
    }

    /// Records an upstream's report and sends what has changed to entries. The report is
    /// ignored if it is late, or if no configuration in force names its service: the same
    /// upstream may report again once one does.
    pub fn record_report(&self, report: Report) {
        let id = report.id.clone();
        let service = report.service.clone();
        let version = report.version;
        let before = self.source.registry.borrow().last_change();
        let mut registry = self.source.registry.borrow_mut();
        let is_newest = registry.apply_report(Instant::now(), report);
        let is_named = registry.names_service(&service);
        drop(registry);
        publish_upstream_changes(&self.source, before);
        let outcome = match (is_newest, is_named) {
            (true, _) => "taken",
            (false, true) => "late",
            (false, false) => "unnamed_service",
        };
        self.metrics.count_report(outcome);
        match outcome {
            "unnamed_service" => {
                let problem = format!("the configuration doesn't name service {service}");
                self.log_refused_report(&id, outcome, "service", &problem);
            }
            "late" => log::debug!("late report of {id}: {version:?}"),
            _ => {}
        }
    }

    /// Counts a report or departure of an upstream that can't be used, and logs why. `field` is
    /// the one at fault, or empty.
    pub fn refuse_report(
        &self,
        id: &str,
        reason: &'static str,
        field: &'static str,
        problem: &str,
    ) {
        self.metrics.count_refused_report(reason, field);
        self.log_refused_report(id, reason, field, problem);
    }

    fn log_refused_report(&self, id: &str, reason: &str, field: &str, problem: &str) {
        let mut limiter = self.refused_reports.borrow_mut();
        if let Some(left_out) = limiter.try_acquire(Instant::now()) {
            log::warn!(
                event = "refused_report",
                upstream = &id[..id.floor_char_boundary(MAX_LOGGED_ID_BYTES)],
                reason = reason,
                field = field,
                problem = problem,
                left_out = left_out;
                "a report of an upstream is refused"
            );
        }
    }

    /// Records that an upstream has left and sends the change to entries.
    /// Without `born_ms` the incarnation in the registry is meant.
    pub fn deregister(&self, id: &str, born_ms: Option<u64>) {
        let before = self.source.registry.borrow().last_change();
        let mut registry = self.source.registry.borrow_mut();
        registry.mark_left(Instant::now(), id, born_ms);
        drop(registry);
        publish_upstream_changes(&self.source, before);
    }

    /// Applies a configuration whose author has set its version.
    pub async fn apply(&self, request: VersionedRequest) -> VersionedAnswer {
        let started = Instant::now();
        let answer = self.handle.apply_version(request).await;
        self.metrics.observe_commit(started.elapsed().as_secs_f64());
        answer
    }

    /// Has an order on a failure domain executed. The order is given up when the future
    /// is dropped before the order is in the log.
    pub async fn order_evacuation(&self, order: EvacuationOrder) -> EvacuationReply {
        self.handle.order_evacuation(order).await
    }

    /// Returns the accepted configuration, as confirmed by a quorum.
    ///
    /// # Errors
    ///
    /// Returns the reason if this node can't confirm the configuration.
    pub async fn read(&self) -> currantgate_control::ReadAnswer {
        self.handle.read_confirmed().await
    }

    /// Returns the address at which the leader listens for control VMs, if the
    /// leader is another node.
    pub fn other_leader(&self) -> Option<SocketAddr> {
        let own = self.control.address();
        let known = self.handle.leader().map(|(_, address)| address);
        let hint = self.leader_hint.get();
        let hint = hint.filter(|(_, at)| at.elapsed() < LEADER_HINT_LIFETIME);
        known
            .or(hint.map(|(address, _)| address))
            .filter(|address| *address != own)
    }

    /// Replaces the addresses of the control VMs that the settings list.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds_tx.send_replace(seeds);
    }

    /// Passes on the lead and the vote before a planned stop, and waits until the other nodes
    /// have been informed. A node that is removed for good would otherwise keep a vote that
    /// the site needs once another one is removed. See `docs/design/control.md`.
    pub async fn prepare_stop(&self) {
        let started = Instant::now();
        let mut hand_over = self.handle.hand_over();
        while matches!(hand_over, HandOver::Lead | HandOver::Vote)
            && started.elapsed() < HAND_OVER_TIMEOUT
        {
            actix_rt::time::sleep(HAND_OVER_INTERVAL).await;
            if hand_over == HandOver::Lead && started.elapsed() >= TRANSFER_TIMEOUT {
                self.handle.step_down();
            }
            hand_over = self.handle.hand_over();
        }
        let ms = started.elapsed().as_millis();
        log::info!(event = "hand_over", result:? = hand_over, ms:% = ms; "the stop goes on after the lead and the vote were to be handed over");
        self.handle.step_down();
        actix_rt::time::sleep(RESIGN_WAIT).await;
    }

    /// Adds the node's metrics to those of the process.
    pub fn register_metrics(&self, registry: &mut Registry) {
        self.control.register_metrics(registry);
        self.metrics.register(registry);
    }

    /// Waits until the disk fails, after which the node takes no further part in
    /// the consensus.
    pub async fn wait_for_disk_failure(&self) {
        self.control.wait_for_disk_failure().await;
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The state files of a node besides its journal.
struct StateFiles {
    upstreams: ValueFile<DataDirectory, Vec<Record>>,
    adopted: ValueFile<DataDirectory, Change>,
    evacuations: AdoptedEvacuationsFile,
}

impl StateFiles {
    fn open(directory: &DataDirectory) -> Self {
        Self {
            upstreams: ValueFile::new(directory.share(), persistence::UPSTREAMS_FILE),
            adopted: ValueFile::new(directory.share(), ADOPTED_FILE),
            evacuations: ValueFile::new(directory.share(), ADOPTED_EVACUATIONS_FILE),
        }
    }
}

/// Creates the source of feeds from the upstreams and the change that the state
/// files hold.
fn restore_source(
    settings: &NodeSettings,
    check: &FileCheck,
    files: &mut StateFiles,
) -> Rc<FeedSource> {
    let registry = RegistrySettings::for_interval(settings.report_interval);
    let mut registry = Upstreams::new(registry);
    let records = persistence::load(&mut files.upstreams, persistence::UPSTREAMS_FILE);
    registry.restore(Instant::now(), records.unwrap_or_default());
    let source = Rc::new(FeedSource::new(registry, Rc::clone(check)));
    if let Some(change) = persistence::load(&mut files.adopted, ADOPTED_FILE) {
        source.publish(Arc::new(change));
    }
    source
}

/// Returns the node's extension of a control VM: the validation of files, and the
/// feeds.
fn feed_extension(settings: &NodeSettings, check: FileCheck, source: &Rc<FeedSource>) -> Extension {
    let source = Rc::clone(source);
    // A weak reference, as the source holds the control VM, which holds this
    // closure.
    let fleet = Rc::downgrade(&source);
    let evacuations = fleet.clone();
    let evacuated_flows = fleet.clone();
    let serve = move |incoming: IncomingStream| {
        let source = Rc::clone(&source);
        async move {
            if &*incoming.path == FEED_PATH {
                serve_feed(source, incoming).await;
            } else {
                log::warn!("{} requests unknown path {}", incoming.from, incoming.path);
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
        domains: Some(settings.domains.clone()),
        evacuations: Some(Rc::new(move || {
            evacuations
                .upgrade()
                .map(|source| source.evacuation_status())
                .unwrap_or_default()
        })),
        evacuated_flows: Some(Rc::new(move || {
            evacuated_flows
                .upgrade()
                .map(|source| source.evacuated_flows())
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
        // Entries are added and removed at addresses that are listed nowhere.
        allow: vec![Prefix::all_ipv4()],
        max_connections: MAX_CONNECTIONS,
        voters: Vec::new(),
        fan_out_of: Vec::new(),
    }
}

fn open_data_directory(settings: &NodeSettings) -> Result<DataDirectory, NodeError> {
    DataDirectory::open(&settings.data).map_err(|source| NodeError::DataDirectory {
        directory: settings.data.display().to_string().into(),
        source,
    })
}

/// Opens the VM's durable state, or initialises it. Returns the VM's id, its
/// journal and the state recovered from it.
fn open_state(
    settings: &NodeSettings,
    directory: &mut DataDirectory,
) -> Result<(VoterId, (Journal<DataDirectory>, RecoveredState)), NodeError> {
    let storage_error = |source| NodeError::Storage {
        directory: settings.data.display().to_string().into(),
        source,
    };
    let id = identity::load(directory).map_err(storage_error)?;
    if let Some(id) = id
        && Journal::exists(directory).map_err(storage_error)?
    {
        log::info!("the data directory holds the state of voter {id}");
        return Ok((id, Journal::open(directory.share()).map_err(storage_error)?));
    }
    let voters = identity::first_voters(&settings.seeds);
    let own = voters.iter().find(|(_, a)| *a == settings.listen);
    let first = own.filter(|_| settings.is_first_voter());
    let id = first.map_or_else(|| identity::generate(settings.is_new_site), |(id, _)| *id);
    identity::save(directory, id).map_err(storage_error)?;
    let opened = if first.is_some() {
        log::info!("this VM is voter {id} of a new site with the first voters {voters:?}");
        Journal::init(directory.share(), Members::new(voters))
    } else {
        log::info!("this VM joins the site with voter id {id}");
        Journal::join(directory.share())
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

async fn run_registry(source: Rc<FeedSource>, metrics: NodeMetrics) {
    let mut interval = actix_rt::time::interval(SILENCE_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let before = source.registry.borrow().last_change();
        source.registry.borrow_mut().expire(Instant::now());
        publish_upstream_changes(&source, before);
        metrics.set_state(source.registry.borrow().iter(), source.open_feeds());
        metrics.set_slow_upstreams(source.slow_upstreams().len());
        let evacuations = source.evacuations().borrow();
        metrics.set_evacuations(evacuations.evacuated().len(), evacuations.revision());
        metrics.set_demand_entries(source.demand_entries());
        metrics.set_permits(source.permit_counts());
    }
}

/// Logs the upstreams that have changed after change `before`, and wakes the feeds
/// if there are any.
fn publish_upstream_changes(source: &FeedSource, before: ChangeNumber) {
    let records = source.registry.borrow().changes_after(before);
    for Record { report, is_silent } in &records {
        log::info!(
            event = "upstream",
            upstream = &*report.id,
            service = &*report.service,
            address:% = report.address,
            state:? = report.state,
            is_silent = *is_silent,
            born_ms = report.version.started_ms,
            sequence = report.version.sequence;
            "upstream has changed"
        );
    }
    if !records.is_empty() {
        source.notify();
    }
}

async fn publish_commits(source: Rc<FeedSource>, handle: ControlHandle) {
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
