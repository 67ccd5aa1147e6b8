//! One service for as long as the relay takes its requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use currantgate_config::Service;
use tokio::sync::watch;

/// One service for as long as the relay takes its requests; its settings may
/// change from one revision to the next.
pub(crate) struct Served {
    service: RefCell<Rc<Service>>,
    stopping: watch::Sender<bool>,
}

impl Served {
    pub(crate) fn new(service: &Service) -> Self {
        Self {
            service: RefCell::new(Rc::new(service.clone())),
            stopping: watch::Sender::new(false),
        }
    }

    /// Returns the settings that new requests are under.
    pub(crate) fn service(&self) -> Rc<Service> {
        Rc::clone(&self.service.borrow())
    }

    /// Changes the settings for new requests.
    pub(crate) fn set_service(&self, service: &Service) {
        self.service.replace(Rc::new(service.clone()));
    }

    /// Returns the service's name, which never changes.
    pub(crate) fn name(&self) -> Box<str> {
        self.service.borrow().name.clone()
    }

    /// Lets running requests end and takes no new callers.
    pub(crate) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Returns what becomes true when the service is to stop.
    pub(crate) fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Waits until the service has been stopping for `drain`.
    pub(crate) async fn drained(&self, drain: Duration) {
        // The sender lives as long as this does.
        let _ = self.stopping().wait_for(|stopping| *stopping).await;
        actix_rt::time::sleep(drain).await;
    }
}
