//! A service whose requests a relay accepts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use currantgate_config::Service;
use tokio::sync::watch;

/// A service whose requests a relay accepts, with settings that may change with each
/// revision.
pub(crate) struct ActiveService {
    service: RefCell<Rc<Service>>,
    stopping: watch::Sender<bool>,
}

impl ActiveService {
    pub(crate) fn new(service: &Service) -> Self {
        Self {
            service: RefCell::new(Rc::new(service.clone())),
            stopping: watch::Sender::new(false),
        }
    }

    /// Returns the current settings, which apply to new requests.
    pub(crate) fn settings(&self) -> Rc<Service> {
        Rc::clone(&self.service.borrow())
    }

    /// Replaces the settings for new requests.
    pub(crate) fn set_settings(&self, service: &Service) {
        self.service.replace(Rc::new(service.clone()));
    }

    /// Returns the service's name, which never changes.
    pub(crate) fn name(&self) -> Box<str> {
        self.service.borrow().name.clone()
    }

    /// Stops accepting connections and requests; running requests continue.
    pub(crate) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Returns a receiver that becomes true when the service stops.
    pub(crate) fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Waits until the service stops, and then for the drain timeout.
    pub(crate) async fn wait_for_drain_timeout(&self, timeout: Duration) {
        // Can't fail, as `self` holds the sender.
        let _ = self.stopping().wait_for(|stopping| *stopping).await;
        actix_rt::time::sleep(timeout).await;
    }
}
