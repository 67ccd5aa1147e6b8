//! The sockets and timers of one relay.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use actix_web::dev::ServerHandle;
use currantgate_config::{RelaySettings, Site};
use currantgate_request::Input;
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;

use super::core::Core;
use super::metrics::RelayMetrics;
use super::revisions;
use super::services::Services;
use super::shared::Shared;
use crate::entry::announcement_server::{self, AnnounceRequest};
use crate::revisions::{initial_site, subscribe};
use crate::{RelayError, RelaySockets, Subscription};

/// A running relay.
///
/// Serves requests on the thread that started it, until it is dropped or stopped with
/// [`Relay::stop`].
pub struct Relay {
    shared: Rc<Shared>,
    services: Rc<Services>,
    subscription: Option<Subscription>,
    tasks: Vec<JoinHandle<()>>,
    servers: Vec<ServerHandle>,
}

impl Relay {
    /// Starts a relay on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or HTTP server can't be used, or the control
    /// subscription can't start.
    pub fn start(
        settings: &RelaySettings,
        site: &Site,
        sockets: RelaySockets,
    ) -> Result<Self, RelayError> {
        let metrics = RelayMetrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        let subscription = subscribe(
            format!("relay-{}", settings.listen.announce),
            settings.control.as_ref(),
            settings.data.as_ref(),
        )?;
        let accepted = subscription.as_ref().map(Subscription::accepted);
        let site = initial_site(accepted.as_ref(), site);
        let core = Core::new(settings, &site, Instant::now());
        let shared = Rc::new(Shared::new(core, metrics, settings.dispatch.clone()));

        let (tx, rx) = mpsc::channel(announcement_server::ANNOUNCE_QUEUE_LEN);
        let servers = vec![
            announcement_server::serve_announcements(sockets.announce, tx)?,
            announcement_server::serve_metrics(sockets.metrics, Arc::new(registry))?,
        ];
        let mut tasks = vec![
            actix_rt::spawn(Rc::clone(&shared).run_timers()),
            actix_rt::spawn(handle_announcements(Rc::clone(&shared), rx)),
        ];
        let services = Services::new(Rc::clone(&shared), settings.serves.clone());
        let services = Rc::new(services);
        services.start(&site, sockets.services)?;
        if let Some(accepted) = accepted {
            let services = Rc::clone(&services);
            tasks.push(actix_rt::spawn(revisions::apply_revisions(
                services, accepted,
            )));
        }
        Ok(Self {
            shared,
            services,
            subscription,
            tasks,
            servers,
        })
    }

    /// Returns the address on which the relay accepts a service's requests, or `None`
    /// until it is bound.
    pub fn service_address(&self, name: &str) -> Option<SocketAddr> {
        self.services.address(name)
    }

    /// Stops gracefully: sends a GOAWAY to callers and waits until running requests have
    /// ended. Once `abort` is ready or the drain timeout of the settings passes, aborts
    /// those that remain and logs their number.
    ///
    /// Returns the number of requests and connections that were aborted.
    pub async fn stop(mut self, abort: impl Future<Output = ()>) -> usize {
        log::info!("stopping: waiting for running requests to end");
        self.shared.handle(Input::Drain);
        if let Some(subscription) = self.subscription.take() {
            subscription.stop().await;
        }
        self.services.stop();
        let drain = Duration::from_millis(self.shared.dispatch.drain_ms);
        tokio::select! {
            () = self.wait_for_idle() => {}
            () = abort => log::warn!("stopping at once on request"),
            () = actix_rt::time::sleep(drain) => log::warn!("the drain timeout passed"),
        }
        let requests = self.shared.core().pending_requests();
        let connections = self.shared.open_connections.get();
        if requests + connections > 0 {
            log::warn!("aborted {requests} requests and {connections} connections");
        }
        for server in std::mem::take(&mut self.servers) {
            server.stop(false).await;
        }
        log::info!("stopped");
        requests + connections
    }

    /// Waits until no request and no connection of a caller is open.
    async fn wait_for_idle(&self) {
        loop {
            let changed = self.shared.ended.notified();
            if self.shared.open_connections.get() == 0 && self.shared.core().pending_requests() == 0
            {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.services.abort();
        for task in &self.tasks {
            task.abort();
        }
        for server in &self.servers {
            // The stop is requested by the call; the returned future only waits for its end.
            drop(server.stop(false));
        }
    }
}

async fn handle_announcements(shared: Rc<Shared>, mut rx: mpsc::Receiver<AnnounceRequest>) {
    while let Some(request) = rx.recv().await {
        shared.handle_announce_request(request);
    }
}
