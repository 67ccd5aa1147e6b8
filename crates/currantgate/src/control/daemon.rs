//! The control daemon: the sockets, journal and timers of one replica.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use actix_web::dev::ServerHandle;
use currantgate_config::{ControlSettings, Site};
use currantgate_control::{
    DataDirectory, IncomingStream, Journal, Members, RecoveredState, Replica, ReplicaSettings,
    Server, ServerSettings, StorageError,
};
use currantgate_registry::NamedServices;
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use super::ControlError;
use super::core::{Core, FileCheck};
use super::handle::ControlHandle;
use super::incoming_streams::serve_stream;
use super::metrics::ControlMetrics;
use super::publishing::{Publishing, run_publisher_timers};
use super::writer::{self, Confirmations};
use crate::entry::announcement_server;
use crate::feed::{EntryFlows, EvacuationStatus, FleetStatus};

/// How a control VM obtains its state when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlStart {
    /// Load the state from the data directory, after an earlier run.
    Resume,
    /// Create the state of one of the first voters of a new site.
    Init,
    /// Create the state of a new VM that replaces a lost voter of an existing site.
    Join,
    /// Load the state, or create that of a new site if the data directory is empty; only for
    /// sites with a single voter.
    InitOrResume,
}

/// Handler of streams whose path is not one of this module's.
pub(crate) type StreamHandler = Rc<dyn Fn(IncomingStream) -> LocalBoxFuture<'static, ()>>;

/// Source of the status of the fleet that a control VM serves.
pub(crate) type FleetStatusSource = Rc<dyn Fn() -> FleetStatus>;

/// Source of the status of the evacuations that a control VM serves.
pub(crate) type EvacuationStatusSource = Rc<dyn Fn() -> EvacuationStatus>;

/// Source of the open flows of entries in evacuated domains that a control VM serves.
pub(crate) type EvacuatedFlowsSource = Rc<dyn Fn() -> Vec<EntryFlows>>;

/// The parts that a program adds to a control VM.
pub(crate) struct Extension {
    /// Validates a site file before it is proposed.
    pub(crate) check: FileCheck,
    /// Handles streams of other paths.
    pub(crate) serve: Option<StreamHandler>,
    /// Returns the status of the fleet, for operators.
    pub(crate) fleet: Option<FleetStatusSource>,
    /// The failure domains that may be evacuated, where empty means all; `None` on a VM
    /// that feeds no entries.
    pub(crate) domains: Option<Vec<Box<str>>>,
    /// Returns the status of the evacuations, for operators.
    pub(crate) evacuations: Option<EvacuationStatusSource>,
    /// Returns the open flows of entries in evacuated domains, for operators.
    pub(crate) evacuated_flows: Option<EvacuatedFlowsSource>,
}

/// Validates a site file in the format of this crate.
fn check_site(text: &str) -> Result<NamedServices, Box<str>> {
    let site = Site::parse(text, "the applied file").map_err(|e| e.to_string())?;
    let services = site.services.into_iter().map(|service| service.name);
    Ok(NamedServices::new(services))
}

/// A running control VM, which stops when dropped.
pub struct Control {
    address: SocketAddr,
    _server: Server,
    core: Rc<RefCell<Core>>,
    metrics: ControlMetrics,
    metrics_server: Option<ServerHandle>,
    tasks: Vec<JoinHandle<()>>,
    failed: watch::Receiver<bool>,
}

impl Control {
    /// Starts a control VM on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data directory can't be used or is not in the state that
    /// `start` requires, or if the listener can't be used.
    pub fn start(
        settings: &ControlSettings,
        start: ControlStart,
        listener: TcpListener,
    ) -> Result<Self, ControlError> {
        let (address, listener) = to_async_listener(settings.listen, listener)?;
        let opened = open_journal(settings, start)?;
        let extension = Extension {
            check: Rc::new(check_site),
            serve: None,
            fleet: None,
            domains: None,
            evacuations: None,
            evacuated_flows: None,
        };
        Self::run(settings, opened, (address, listener), extension)
    }

    /// Starts a control VM with an extension on an open journal and listener.
    pub(crate) fn run(
        settings: &ControlSettings,
        (journal, recovered): (Journal<DataDirectory>, RecoveredState),
        (address, listener): (SocketAddr, tokio::net::TcpListener),
        extension: Extension,
    ) -> Result<Self, ControlError> {
        let now = Instant::now();
        let replica_settings = ReplicaSettings {
            id: settings.id,
            seed: random_seed(settings.id),
            ..ReplicaSettings::default()
        };
        let replica = Replica::new(replica_settings, recovered, now);
        let current = replica.read(now).change;
        let (writes, confirmations) = writer::start(journal);
        let publishing = Rc::new(RefCell::new(Publishing::new(now)));
        if let Some(change) = current {
            publishing.borrow_mut().publish(now, change);
        }
        let metrics = ControlMetrics::default();
        let metrics_server = serve_metrics(settings, &metrics)?;
        let core = Core::new(
            settings,
            address,
            replica,
            writes,
            Rc::clone(&publishing),
            metrics.clone(),
            &extension,
        );
        let core = Rc::new(RefCell::new(core));
        let (failed_tx, failed) = watch::channel(false);
        let server = serve(settings, listener, &core, &publishing, extension.serve);
        let tasks = vec![
            actix_rt::spawn(run_publisher_timers(publishing)),
            actix_rt::spawn(confirm_writes(Rc::clone(&core), confirmations, failed_tx)),
            actix_rt::spawn(run_timers(Rc::clone(&core))),
        ];
        if settings.key.is_default() {
            log::warn!("no key is set: any client that can connect can change the site");
        }
        log::info!("control VM {} listens on {address}", settings.id);
        Ok(Self {
            address,
            _server: server,
            core,
            metrics,
            metrics_server,
            tasks,
            failed,
        })
    }

    /// Returns the address that the VM listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Registers the VM's metrics with those of the process.
    pub(crate) fn register_metrics(&self, registry: &mut Registry) {
        self.metrics.register(registry);
    }

    /// Returns a handle to the VM for other tasks of the process.
    pub(crate) fn handle(&self) -> ControlHandle {
        ControlHandle::new(Rc::clone(&self.core))
    }

    /// Waits until the disk fails, after which the VM takes no further part in the
    /// consensus.
    pub async fn wait_for_disk_failure(&self) {
        let mut failed = self.failed.clone();
        // Fails only once the VM has stopped and dropped the sender.
        let _ = failed.wait_for(|failed| *failed).await;
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        if let Some(server) = &self.metrics_server {
            // The stop is requested by the call; the returned future only waits for its end.
            drop(server.stop(false));
        }
    }
}

/// Starts the HTTP server for metrics, if the settings have an address for it.
fn serve_metrics(
    settings: &ControlSettings,
    metrics: &ControlMetrics,
) -> Result<Option<ServerHandle>, ControlError> {
    let Some(address) = settings.metrics else {
        return Ok(None);
    };
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let error = |source| ControlError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(error)?;
    let server = announcement_server::serve_metrics(listener, Arc::new(registry))?;
    Ok(Some(server))
}

/// Registers a listener with the runtime; returns it with its address.
pub(crate) fn to_async_listener(
    requested: SocketAddr,
    listener: TcpListener,
) -> Result<(SocketAddr, tokio::net::TcpListener), ControlError> {
    let error = |source| ControlError::Listen {
        address: requested,
        source,
    };
    let address = listener.local_addr().map_err(error)?;
    listener.set_nonblocking(true).map_err(error)?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(error)?;
    Ok((address, listener))
}

/// Opens the data directory of a daemon.
pub(super) fn open_folder(settings: &ControlSettings) -> Result<DataDirectory, ControlError> {
    DataDirectory::open(&settings.data).map_err(|source| ControlError::Folder {
        folder: settings.data.display().to_string().into(),
        source,
    })
}

/// Opens or creates the journal as `start` requires.
fn open_journal(
    settings: &ControlSettings,
    start: ControlStart,
) -> Result<(Journal<DataDirectory>, RecoveredState), ControlError> {
    let folder = open_folder(settings)?;
    let voters = settings.voters.iter().map(|v| (v.id, v.address));
    let members = Members::new(voters);
    if start == ControlStart::Init && !members.contains(settings.id) {
        return Err(ControlError::NotAVoter(settings.id));
    }
    let opened = match start {
        ControlStart::Resume => Journal::open(folder),
        ControlStart::Init => Journal::init(folder, members),
        ControlStart::Join => Journal::join(folder),
        ControlStart::InitOrResume => match Journal::open(folder) {
            Err(StorageError::Missing { .. }) => Journal::init(open_folder(settings)?, members),
            opened => opened,
        },
    };
    opened.map_err(ControlError::storage(&settings.data))
}

/// Returns a random seed that differs between VMs and between starts, so that election
/// timeouts rarely coincide.
pub(crate) fn random_seed(id: u64) -> u64 {
    use std::hash::{BuildHasher as _, RandomState};
    RandomState::new().hash_one(id)
}

fn serve(
    settings: &ControlSettings,
    listener: tokio::net::TcpListener,
    core: &Rc<RefCell<Core>>,
    publishing: &Rc<RefCell<Publishing>>,
    other_streams: Option<StreamHandler>,
) -> Server {
    let server_settings = ServerSettings {
        secret: *settings.key.bytes(),
        max_connections: settings.max_connections as usize,
    };
    let allow_core = Rc::clone(core);
    let core = Rc::clone(core);
    let publishing = Rc::clone(publishing);
    Server::start(
        listener,
        server_settings,
        move |address| allow_core.borrow().is_allowed(address),
        move |incoming| {
            let other_streams = other_streams.clone();
            serve_stream(
                Rc::clone(&core),
                Rc::clone(&publishing),
                other_streams,
                incoming,
            )
        },
    )
}

async fn confirm_writes(
    core: Rc<RefCell<Core>>,
    mut confirmations: Confirmations,
    failed: watch::Sender<bool>,
) {
    while let Some(written) = confirmations.recv().await {
        if let Err(e) = core.borrow_mut().confirm_write(written) {
            log::error!("the disk failed, so this control VM stops: {e}");
            failed.send_replace(true);
            return;
        }
    }
}

async fn run_timers(core: Rc<RefCell<Core>>) {
    let wake = Rc::clone(&core.borrow().wake);
    let refused = Rc::clone(&core.borrow().refused);
    loop {
        let deadline = core.borrow().next_deadline();
        tokio::select! {
            () = actix_rt::time::sleep_until(deadline.into()) => core.borrow_mut().tick(),
            () = refused.notified() => core.borrow_mut().tick(),
            () = wake.notified() => {}
        }
    }
}
