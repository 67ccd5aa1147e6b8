//! The services whose requests a relay accepts, and their listeners.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use currantgate_config::{RelayedService, Service, Site};
use indexmap::IndexMap;
use tokio::net::TcpListener;

use super::active_service::ActiveService;
use super::caller;
use super::shared::Shared;
use super::sockets::{bind, bind_address};
use crate::{AcceptedRevision, RelayError};

/// Delay before an address that can't be bound is retried.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The address of a listener, once it is bound.
type BoundAddress = Rc<Cell<Option<SocketAddr>>>;

/// One service with the task that accepts its connections.
struct ServiceListener {
    active_service: Rc<ActiveService>,
    /// The address to bind.
    address: SocketAddr,
    bound: BoundAddress,
    /// `None` while the listener of a previous address is being closed.
    task: Option<JoinHandle<()>>,
}

/// The services whose requests a relay accepts.
pub(super) struct Services {
    shared: Rc<Shared>,
    serves: Vec<RelayedService>,
    listeners: RefCell<IndexMap<Box<str>, ServiceListener>>,
}

impl Services {
    /// Returns a set without services.
    pub(super) fn new(shared: Rc<Shared>, serves: Vec<RelayedService>) -> Self {
        Self {
            shared,
            serves,
            listeners: RefCell::default(),
        }
    }

    /// Starts accepting requests of the site's services, on the listeners in `bound` and on
    /// others once they can be bound.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be used.
    pub(super) fn start(
        &self,
        site: &Site,
        mut bound: IndexMap<Box<str>, std::net::TcpListener>,
    ) -> Result<(), RelayError> {
        for service in site.tcp_services() {
            let address = bind_address(&self.serves, service);
            let listener = bound.swap_remove(&service.name).map(TcpListener::from_std);
            let listener = listener.transpose().map_err(|source| RelayError::Bind {
                address,
                purpose: service.name.clone(),
                source,
            })?;
            self.listen(Rc::new(ActiveService::new(service)), address, listener);
        }
        Ok(())
    }

    /// Applies a revision.
    ///
    /// Services that remain keep their listeners and connections. One that was removed
    /// accepts no more connections, and its running requests continue. Addresses no longer
    /// used are released before new ones are bound.
    pub(super) async fn apply(&self, accepted: &AcceptedRevision) {
        let site = &accepted.site;
        self.remove_old_listeners(site).await;
        self.shared.set_site(site);
        for service in site.tcp_services() {
            self.update_or_start(service);
        }
        let revision = i64::try_from(accepted.revision).unwrap_or(i64::MAX);
        self.shared.metrics.revision.set(revision);
        log::info!("applied revision {}", accepted.revision);
    }

    /// Returns the address that is bound for a service, if any.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.listeners.borrow().get(name)?.bound.get()
    }

    /// Stops accepting connections and requests; running requests continue.
    pub(super) fn stop(&self) {
        for listener in self.listeners.borrow().values() {
            listener.active_service.stop();
        }
    }

    /// Aborts the tasks of all listeners.
    pub(super) fn abort(&self) {
        for listener in self.listeners.borrow().values() {
            listener.task.iter().for_each(JoinHandle::abort);
        }
    }

    /// Stops services that the site doesn't have and closes listeners whose address changed;
    /// returns once their addresses are released.
    async fn remove_old_listeners(&self, site: &Site) {
        for task in self.abort_old_listeners(site) {
            // The task was aborted, so its result is always that error.
            let _ = task.await;
        }
    }

    /// Aborts listeners that the site doesn't have at their address; returns their tasks.
    fn abort_old_listeners(&self, site: &Site) -> Vec<JoinHandle<()>> {
        let mut aborted = Vec::new();
        self.listeners.borrow_mut().retain(|name, listener| {
            let found = site.tcp_services().find(|s| s.name == *name);
            let address = found.map(|service| bind_address(&self.serves, service));
            if address == Some(listener.address) {
                return true;
            }
            if found.is_none() {
                log::info!("{name} was removed: its running requests continue");
                listener.active_service.stop();
            }
            listener.bound.set(None);
            let task = listener.task.take();
            task.iter().for_each(JoinHandle::abort);
            aborted.extend(task);
            found.is_some()
        });
        aborted
    }

    /// Updates the settings of a service, and starts a listener if it is new or its address
    /// changed.
    fn update_or_start(&self, service: &Service) {
        let address = bind_address(&self.serves, service);
        let listeners = self.listeners.borrow();
        let active_service = listeners.get(&service.name).map(|listener| {
            listener.active_service.set_settings(service);
            (Rc::clone(&listener.active_service), listener.address)
        });
        drop(listeners);
        match active_service {
            Some((_, same)) if same == address => {}
            Some((active_service, _)) => self.listen(active_service, address, None),
            None => self.listen(Rc::new(ActiveService::new(service)), address, None),
        }
    }

    /// Spawns the task that accepts connections of a service.
    fn listen(
        &self,
        active_service: Rc<ActiveService>,
        address: SocketAddr,
        listener: Option<TcpListener>,
    ) {
        let bound = BoundAddress::default();
        let accept = bind_and_accept(
            Rc::clone(&self.shared),
            Rc::clone(&active_service),
            address,
            listener,
            Rc::clone(&bound),
        );
        let name = active_service.name();
        let service_listener = ServiceListener {
            active_service,
            address,
            bound,
            task: Some(actix_rt::spawn(accept)),
        };
        self.listeners.borrow_mut().insert(name, service_listener);
    }
}

/// Binds the address unless there is a listener, and accepts connections until the service
/// stops.
async fn bind_and_accept(
    shared: Rc<Shared>,
    active_service: Rc<ActiveService>,
    address: SocketAddr,
    listener: Option<TcpListener>,
    bound: BoundAddress,
) {
    let mut stopping = active_service.stopping();
    let listener = match listener {
        Some(listener) => listener,
        None => tokio::select! {
            listener = bind_with_retry(&active_service, address) => listener,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        },
    };
    let address = listener.local_addr().unwrap_or(address);
    bound.set(Some(address));
    log::info!(
        "accepting requests of {} at {address}",
        active_service.name()
    );
    caller::accept(shared, active_service, listener).await;
}

/// Binds a service's address, and retries until that succeeds.
async fn bind_with_retry(active_service: &ActiveService, address: SocketAddr) -> TcpListener {
    let name = active_service.name();
    loop {
        let bound = bind(address, &name).and_then(|listener| {
            TcpListener::from_std(listener).map_err(|source| RelayError::Bind {
                address,
                purpose: name.clone(),
                source,
            })
        });
        match bound {
            Ok(listener) => return listener,
            Err(e) => log::error!("{e}; retrying"),
        }
        actix_rt::time::sleep(BIND_RETRY_DELAY).await;
    }
}
