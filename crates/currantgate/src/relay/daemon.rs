//! Sockets and timers around one relay's state machines.

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
use crate::entry::announce::{self, AnnounceRequest};
use crate::revisions::{initial_site, subscribe};
use crate::{RelayError, RelaySockets, Subscription};

/// A running relay.
///
/// It works on the thread that started it, and stops when it is dropped or
/// told to by [`Relay::stop`].
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
    /// Returns an error when a socket or server can't be used.
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

        let (tx, rx) = mpsc::channel(announce::ANNOUNCE_QUEUE_LEN);
        let servers = vec![
            announce::serve_announcements(sockets.announce, tx)?,
            announce::serve_metrics(sockets.metrics, Arc::new(registry))?,
        ];
        let mut tasks = vec![
            actix_rt::spawn(Rc::clone(&shared).keep_time()),
            actix_rt::spawn(take_announcements(Rc::clone(&shared), rx)),
        ];
        let services = Services::new(Rc::clone(&shared), settings.serves.clone());
        let services = Rc::new(services);
        services.start(&site, sockets.services)?;
        if let Some(accepted) = accepted {
            let services = Rc::clone(&services);
            tasks.push(actix_rt::spawn(revisions::follow(services, accepted)));
        }
        Ok(Self {
            shared,
            services,
            subscription,
            tasks,
            servers,
        })
    }

    /// Returns the address that a service's requests are taken on, once it is
    /// listened on.
    pub fn service_address(&self, name: &str) -> Option<SocketAddr> {
        self.services.address(name)
    }

    /// Stops in plan: callers are told by GOAWAY, running requests end, and
    /// only then the relay does. It ends them itself, and logs how many, once
    /// `cut` is ready or the settings' time to drain is over.
    ///
    /// Returns the number of requests and connections that were cut.
    pub async fn stop(mut self, cut: impl Future<Output = ()>) -> usize {
        log::info!("stopping: running requests may end");
        self.shared.feed(Input::Drain);
        if let Some(subscription) = self.subscription.take() {
            subscription.stop().await;
        }
        self.services.stop();
        let drain = Duration::from_millis(self.shared.dispatch.drain_ms);
        tokio::select! {
            () = self.all_ended() => {}
            () = cut => log::warn!("told to stop at once"),
            () = actix_rt::time::sleep(drain) => log::warn!("the time to drain is over"),
        }
        let requests = self.shared.core().unsettled();
        let connections = self.shared.open.get();
        if requests + connections > 0 {
            log::warn!("cut {requests} requests and {connections} connections");
        }
        for server in std::mem::take(&mut self.servers) {
            server.stop(false).await;
        }
        log::info!("stopped");
        requests + connections
    }

    async fn all_ended(&self) {
        loop {
            let ended = self.shared.ended.notified();
            if self.shared.open.get() == 0 && self.shared.core().unsettled() == 0 {
                return;
            }
            ended.await;
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
            // The returned future only waits; the stop itself is asked for at once.
            drop(server.stop(false));
        }
    }
}

async fn take_announcements(shared: Rc<Shared>, mut rx: mpsc::Receiver<AnnounceRequest>) {
    while let Some(request) = rx.recv().await {
        shared.announce(request);
    }
}
