//! The fan-out daemon, which subscribes to the voters and publishes revisions to the VMs
//! of its failure domain.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use currantgate_config::ControlSettings;
use currantgate_control::{
    AdoptedFile, Change, Freshness, IncomingStream, LocalRead, RevisionId, Server, ServerSettings,
    Subscriber, SubscriberSettings,
};

use super::ControlError;
use super::call::{CALL_PATH, Call, NodeStatus, Reply, SUBSCRIBE_PATH};
use super::daemon::{open_folder, random_seed, to_async_listener};
use super::follower::Follower;
use super::incoming_streams::serve_call;
use super::publishing::{Publishing, run_publisher_timers, serve_subscriber};

/// A running fan-out VM, which stops when dropped.
pub struct FanOut {
    address: SocketAddr,
    _server: Server,
    tasks: Vec<JoinHandle<()>>,
}

/// State shared by the tasks of a fan-out VM, which run on one thread.
#[derive(Clone)]
struct Shared {
    publishing: Rc<RefCell<Publishing>>,
    newest: Rc<RefCell<Option<Arc<Change>>>>,
}

impl FanOut {
    /// Starts a fan-out VM on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data directory or the listener can't be used.
    pub fn start(settings: &ControlSettings, listener: TcpListener) -> Result<Self, ControlError> {
        let (address, listener) = to_async_listener(settings.listen, listener)?;
        let mut file = AdoptedFile::new(open_folder(settings)?);
        let adopted = file
            .load()
            .map_err(ControlError::storage(&settings.data))?
            .map(Arc::new);
        let now = Instant::now();
        let shared = Shared {
            publishing: Rc::new(RefCell::new(Publishing::new(now))),
            newest: Rc::new(RefCell::new(None)),
        };
        if let Some(change) = &adopted {
            shared.adopt(Arc::clone(change));
        }
        let subscriber_settings = SubscriberSettings {
            name: format!("fan-out-{}", settings.id).into(),
            servers: settings.fan_out_of.clone(),
            seed: random_seed(settings.id),
        };
        let follower = Follower {
            name: subscriber_settings.name.clone(),
            subscriber: Subscriber::new(subscriber_settings, adopted, now),
            file: Some(file),
            secret: *settings.key.bytes(),
        };
        let (adopt_shared, rollout_shared) = (shared.clone(), shared.clone());
        let tasks = vec![
            actix_rt::spawn(run_publisher_timers(Rc::clone(&shared.publishing))),
            actix_rt::spawn(follower.run(
                move |change| adopt_shared.adopt(change),
                move || rollout_shared.publishing.borrow().rollout_status(),
            )),
        ];
        let server = serve(settings, listener, shared);
        log::info!("fan-out VM {} listens on {address}", settings.id);
        Ok(Self {
            address,
            _server: server,
            tasks,
        })
    }

    /// Returns the address that the VM listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for FanOut {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Shared {
    /// Keeps a new revision and publishes it.
    fn adopt(&self, change: Arc<Change>) {
        *self.newest.borrow_mut() = Some(Arc::clone(&change));
        self.publishing.borrow_mut().publish(Instant::now(), change);
    }

    /// Serves one incoming stream.
    async fn serve(self, incoming: IncomingStream) {
        match &*incoming.path {
            SUBSCRIBE_PATH => serve_subscriber(&self.publishing, incoming).await,
            CALL_PATH => serve_call(incoming, async |call| Some(self.answer(&call))).await,
            other => log::warn!("{} requests unknown path {other}", incoming.from),
        }
    }

    /// Returns the reply to a request of an operator.
    fn answer(&self, call: &Call) -> Reply {
        let change = self.newest.borrow().clone();
        match call {
            Call::Read => Reply::Read(LocalRead {
                freshness: Freshness::Stale,
                change,
            }),
            Call::Status => Reply::Status(Box::new(NodeStatus {
                consensus: None,
                accepted: change.map_or_else(RevisionId::empty, |change| change.revision_id()),
                rollout: self.publishing.borrow().rollout_status(),
                subscribers: self.publishing.borrow().subscribers(),
                fleet: None,
            })),
            Call::Apply(_)
            | Call::FindRevision(_)
            | Call::Replace(_)
            | Call::Evacuate(_)
            | Call::Evacuations
            | Call::EvacuatedFlows
            | Call::VoterSpread => Reply::NotAVoter,
        }
    }
}

fn serve(settings: &ControlSettings, listener: tokio::net::TcpListener, shared: Shared) -> Server {
    let server_settings = ServerSettings {
        secret: *settings.key.bytes(),
        max_connections: settings.max_connections as usize,
    };
    let allow = settings.allow.clone();
    Server::start(
        listener,
        server_settings,
        move |address| allow.iter().any(|prefix| prefix.contains(address)),
        move |incoming| shared.clone().serve(incoming),
    )
}
