//! The sockets and timers of one entry.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_rt::task::JoinHandle;
use actix_web::dev::ServerHandle;
use currantgate_config::{EntryId, EntryListen, EntrySettings, Incarnation, Site};
use prometheus_client::registry::Registry;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::announcement_server::{self, AnnounceRequest};
use super::core::{Core, Datagram};
use super::metrics::EntryMetrics;
use super::revisions;
use crate::revisions::{initial_site, subscribe};
use crate::{EntryError, EntrySockets, Subscription};

/// Largest size of a UDP datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Time for which a stopping entry keeps routing after it announces that it leaves.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// A running entry.
///
/// Receives packets on the thread that started it, until it is dropped or stopped
/// with [`Entry::stop`].
pub struct Entry {
    id: EntryId,
    addresses: EntryListen,
    metrics: EntryMetrics,
    shared: Rc<Shared>,
    subscription: Option<Subscription>,
    tasks: Vec<JoinHandle<()>>,
    servers: Vec<ServerHandle>,
}

/// State shared by the tasks of an entry, which run on one thread.
pub(super) struct Shared {
    pub(super) core: RefCell<Core>,
    fabric: UdpSocket,
    tunnel: UdpSocket,
    peer: UdpSocket,
    pub(super) metrics: EntryMetrics,
}

impl Entry {
    /// Starts an entry on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or HTTP server can't be used, or the control
    /// subscription can't start.
    pub fn start(
        settings: &EntrySettings,
        site: &Site,
        sockets: EntrySockets,
    ) -> Result<Self, EntryError> {
        let addresses = sockets
            .addresses()
            .map_err(|source| bind_error(settings.listen.peer, source))?;
        let metrics = EntryMetrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);

        let subscription = subscribe(
            format!("entry-{}", settings.id),
            settings.control.as_ref(),
            settings.data.as_ref(),
        )?;
        let accepted = subscription.as_ref().map(Subscription::accepted);
        let core = Core::new(
            settings,
            &initial_site(accepted.as_ref(), site),
            metrics.clone(),
            incarnation(),
            Instant::now(),
        );
        let (tx, rx) = mpsc::channel(announcement_server::ANNOUNCE_QUEUE_LEN);
        let servers = vec![
            announcement_server::serve_announcements(sockets.announce, tx)?,
            announcement_server::serve_metrics(sockets.metrics, Arc::new(registry))?,
        ];
        let udp = |socket, address| {
            UdpSocket::from_std(socket).map_err(|source| bind_error(address, source))
        };
        let shared = Rc::new(Shared {
            core: RefCell::new(core),
            fabric: udp(sockets.fabric, addresses.fabric)?,
            tunnel: udp(sockets.tunnel, addresses.tunnel)?,
            peer: udp(sockets.peer, addresses.peer)?,
            metrics: metrics.clone(),
        });
        let mut tasks = vec![
            actix_rt::spawn(receive_from_fabric(Rc::clone(&shared))),
            actix_rt::spawn(receive_from_tunnel(Rc::clone(&shared))),
            actix_rt::spawn(receive_from_peers(Rc::clone(&shared))),
            actix_rt::spawn(handle_announcements(Rc::clone(&shared), rx)),
            actix_rt::spawn(run_timers(Rc::clone(&shared))),
        ];
        if let Some(accepted) = accepted {
            let apply_revisions = revisions::apply_revisions(Rc::clone(&shared), accepted);
            tasks.push(actix_rt::spawn(apply_revisions));
        }
        log::info!(
            "entry {} in {} receives packets at {}",
            settings.id,
            settings.domain,
            addresses.fabric
        );
        Ok(Self {
            id: settings.id,
            addresses,
            metrics,
            shared,
            subscription,
            tasks,
            servers,
        })
    }

    /// Returns the entry's id.
    pub fn id(&self) -> EntryId {
        self.id
    }

    /// Returns the addresses that the entry listens on.
    pub fn addresses(&self) -> &EntryListen {
        &self.addresses
    }

    /// Returns the bytes of control messages sent since the start, UDP and IP headers
    /// included.
    pub fn control_bytes(&self) -> u64 {
        self.metrics.control_bytes.get()
    }

    /// Stops all tasks at once without a handover, like a crash.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops gracefully: hands over the entry's buckets and routes packets meanwhile.
    pub async fn stop(mut self) {
        let now = Instant::now();
        self.shared.core.borrow_mut().leave(now);
        self.shared.flush(now);
        actix_rt::time::sleep(HANDOVER_TIME).await;
        for server in std::mem::take(&mut self.servers) {
            server.stop(true).await;
        }
        self.kill();
        if let Some(subscription) = self.subscription.take() {
            subscription.stop().await;
        }
        log::info!("entry {} stopped", self.id);
    }

    /// Returns whether the entry decides about flows.
    pub fn is_serving(&self) -> bool {
        self.shared.core.borrow().is_serving()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        for server in &self.servers {
            // The stop is requested by the call; the returned future only waits for its end.
            drop(server.stop(false));
        }
    }
}

/// Returns the entry's incarnation, which grows with each start: milliseconds since
/// the Unix epoch.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn bind_error(address: SocketAddr, source: std::io::Error) -> EntryError {
    EntryError::Bind {
        address,
        purpose: "listen",
        source,
    }
}

impl Shared {
    /// Sends one datagram; drops it if the socket's buffer is full.
    fn send(&self, datagram: &Datagram<'_>) {
        let sent = match datagram {
            Datagram::ToUpstream(to, bytes) => self.tunnel.try_send_to(bytes, *to),
            Datagram::ToFabric(to, bytes) => self.fabric.try_send_to(bytes, *to),
            Datagram::RefusalToFabric(to, bytes) => self.fabric.try_send_to(bytes, *to),
            Datagram::ToPeer(to, bytes) => self.peer.try_send_to(bytes, *to),
        };
        if let Err(e) = sent {
            log::debug!("sending a datagram failed: {e}");
            self.metrics.count_drop("send_failed");
        }
    }

    /// Sends all pending datagrams of the state machines.
    pub(super) fn flush(&self, now: Instant) {
        loop {
            let output = self.core.borrow_mut().poll_output(now);
            let Some(datagram) = output else { break };
            self.send(&datagram);
        }
    }
}

async fn receive_from_fabric(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = shared.fabric.recv_from(&mut buf).await else {
            continue;
        };
        let output = shared
            .core
            .borrow_mut()
            .handle_request(Instant::now(), &buf[..len]);
        if let Some(datagram) = output {
            shared.send(&datagram);
        }
    }
}

async fn receive_from_tunnel(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = shared.tunnel.recv_from(&mut buf).await else {
            continue;
        };
        let output = shared
            .core
            .borrow_mut()
            .handle_answer(Instant::now(), from, &buf[..len]);
        if let Some(datagram) = output {
            shared.send(&datagram);
        }
    }
}

async fn receive_from_peers(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = shared.peer.recv_from(&mut buf).await else {
            continue;
        };
        let now = Instant::now();
        let decoded = shared.core.borrow_mut().decode_peer(now, from, &buf[..len]);
        let Some((from, message)) = decoded else {
            continue;
        };
        let output = shared
            .core
            .borrow_mut()
            .handle_peer_message(now, from, &message);
        if let Some(datagram) = output {
            shared.send(&datagram);
        }
        shared.flush(now);
    }
}

async fn handle_announcements(shared: Rc<Shared>, mut rx: mpsc::Receiver<AnnounceRequest>) {
    while let Some(request) = rx.recv().await {
        let now = Instant::now();
        shared
            .core
            .borrow_mut()
            .handle_announce_request(now, request);
        shared.flush(now);
    }
}

async fn run_timers(shared: Rc<Shared>) {
    loop {
        let now = Instant::now();
        shared.core.borrow_mut().tick(now);
        shared.flush(now);
        let deadline = shared.core.borrow().next_deadline();
        actix_rt::time::sleep_until(deadline.into()).await;
    }
}
