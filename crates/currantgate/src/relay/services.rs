//! The services that a relay takes requests of, and their listeners.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use currantgate_config::{RelayedService, Service, Site};
use indexmap::IndexMap;
use tokio::net::TcpListener;

use super::caller;
use super::served::Served;
use super::shared::Shared;
use super::sockets::{address_of, bind};
use crate::{AcceptedRevision, RelayError};

/// How long to wait before an address that can't be bound is tried again.
const BIND_RETRY: Duration = Duration::from_secs(1);

/// The address of a listener, once it is bound.
type Bound = Rc<Cell<Option<SocketAddr>>>;

/// One service and the task that takes its callers.
struct Listening {
    served: Rc<Served>,
    /// The address that was asked for.
    address: SocketAddr,
    bound: Bound,
    /// Nothing while a changed address is let go of.
    task: Option<JoinHandle<()>>,
}

/// The services that a relay takes requests of.
pub(super) struct Services {
    shared: Rc<Shared>,
    serves: Vec<RelayedService>,
    listening: RefCell<IndexMap<Box<str>, Listening>>,
}

impl Services {
    /// Returns a set without services.
    pub(super) fn new(shared: Rc<Shared>, serves: Vec<RelayedService>) -> Self {
        Self {
            shared,
            serves,
            listening: RefCell::default(),
        }
    }

    /// Takes the requests of the site's services, on the listeners that are
    /// bound already and on others once they can be bound.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be used.
    pub(super) fn start(
        &self,
        site: &Site,
        mut bound: IndexMap<Box<str>, std::net::TcpListener>,
    ) -> Result<(), RelayError> {
        for service in site.tcp_services() {
            let address = address_of(&self.serves, service);
            let listener = bound.swap_remove(&service.name).map(TcpListener::from_std);
            let listener = listener.transpose().map_err(|source| RelayError::Bind {
                address,
                purpose: service.name.clone(),
                source,
            })?;
            self.listen(Rc::new(Served::new(service)), address, listener);
        }
        Ok(())
    }

    /// Puts a revision in force, as a whole.
    ///
    /// Services that stay keep their listeners and connections. One that is
    /// left out takes no more callers, and its running requests end. What gets
    /// free is let go of before anything new is bound.
    pub(super) async fn put_in_force(&self, accepted: &AcceptedRevision) {
        let site = &accepted.site;
        self.leave_out(site).await;
        self.shared.set_site(site);
        for service in site.tcp_services() {
            self.keep_or_start(service);
        }
        let revision = i64::try_from(accepted.revision).unwrap_or(i64::MAX);
        self.shared.metrics.revision.set(revision);
        log::info!("revision {} is in force", accepted.revision);
    }

    /// Returns the address that a service is listened on.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.listening.borrow().get(name)?.bound.get()
    }

    /// Lets running requests of all services end and takes no new callers.
    pub(super) fn stop(&self) {
        for listening in self.listening.borrow().values() {
            listening.served.stop();
        }
    }

    /// Ends all listeners at once.
    pub(super) fn abort(&self) {
        for listening in self.listening.borrow().values() {
            listening.task.iter().for_each(JoinHandle::abort);
        }
    }

    /// Stops the services that the site doesn't have, and listens no more on
    /// addresses that have changed; returns once those are let go of.
    async fn leave_out(&self, site: &Site) {
        for task in self.release(site) {
            // It ends by being aborted, which is no news.
            let _ = task.await;
        }
    }

    /// Aborts listeners that the site doesn't have, and returns their tasks.
    fn release(&self, site: &Site) -> Vec<JoinHandle<()>> {
        let mut released = Vec::new();
        self.listening.borrow_mut().retain(|name, listening| {
            let found = site.tcp_services().find(|s| s.name == *name);
            let address = found.map(|service| address_of(&self.serves, service));
            if address == Some(listening.address) {
                return true;
            }
            if found.is_none() {
                log::info!("{name} is left out: running requests may end");
                listening.served.stop();
            }
            listening.bound.set(None);
            let task = listening.task.take();
            task.iter().for_each(JoinHandle::abort);
            released.extend(task);
            found.is_some()
        });
        released
    }

    fn keep_or_start(&self, service: &Service) {
        let address = address_of(&self.serves, service);
        let known = self.listening.borrow();
        let served = known.get(&service.name).map(|listening| {
            listening.served.set_service(service);
            (Rc::clone(&listening.served), listening.address)
        });
        drop(known);
        match served {
            Some((_, same)) if same == address => {}
            Some((served, _)) => self.listen(served, address, None),
            None => self.listen(Rc::new(Served::new(service)), address, None),
        }
    }

    fn listen(&self, served: Rc<Served>, address: SocketAddr, listener: Option<TcpListener>) {
        let bound = Bound::default();
        let take = take_callers(
            Rc::clone(&self.shared),
            Rc::clone(&served),
            address,
            listener,
            Rc::clone(&bound),
        );
        let name = served.name();
        let listening = Listening {
            served,
            address,
            bound,
            task: Some(actix_rt::spawn(take)),
        };
        self.listening.borrow_mut().insert(name, listening);
    }
}

async fn take_callers(
    shared: Rc<Shared>,
    served: Rc<Served>,
    address: SocketAddr,
    listener: Option<TcpListener>,
    bound: Bound,
) {
    let mut stopping = served.stopping();
    let listener = match listener {
        Some(listener) => listener,
        None => tokio::select! {
            listener = keep_binding(&served, address) => listener,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        },
    };
    let address = listener.local_addr().unwrap_or(address);
    bound.set(Some(address));
    log::info!("{} is taken on {address}", served.name());
    caller::accept(shared, served, listener).await;
}

/// Binds a service's address, as often as it takes.
async fn keep_binding(served: &Served, address: SocketAddr) -> TcpListener {
    let name = served.name();
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
            Err(e) => log::error!("{e}; it is tried again"),
        }
        actix_rt::time::sleep(BIND_RETRY).await;
    }
}
