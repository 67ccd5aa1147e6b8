//! An upstream that responds to TCP segments as a kernel does.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_rt::task::JoinHandle;
use currantgate_config::Incarnation;
use currantgate_membership::{Announcement, UpstreamState};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::announcer;
use crate::live_entries::LiveEntries;
use crate::segment::Segment;
use crate::server::{PendingRequest, Server};
use crate::{StandinError, UpstreamSettings};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which downloads are polled, and open flows while the upstream
/// leaves.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A running stand-in upstream.
pub struct Upstream {
    shared: Rc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    settings: UpstreamSettings,
    incarnation: Cell<Incarnation>,
    address: SocketAddr,
    socket: UdpSocket,
    draining: Cell<bool>,
    unresponsive: Cell<bool>,
    server: RefCell<Server>,
    live_entries: RefCell<LiveEntries>,
    rng: RefCell<ChaCha8Rng>,
}

impl Upstream {
    /// Starts an upstream, which announces itself immediately.
    ///
    /// # Errors
    ///
    /// Returns an error when its socket can't be bound.
    pub async fn start(settings: UpstreamSettings) -> Result<Self, StandinError> {
        let error = |e| StandinError::Socket("upstream", e);
        let socket = UdpSocket::bind(settings.listen).await.map_err(error)?;
        let shared = Rc::new(Shared {
            address: socket.local_addr().map_err(error)?,
            socket,
            incarnation: Cell::new(first_incarnation(&settings)),
            draining: Cell::new(false),
            unresponsive: Cell::new(false),
            server: RefCell::new(Server::new(Instant::now(), &settings)),
            live_entries: RefCell::new(LiveEntries::new(settings.entries.clone())),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            settings,
        });
        let tasks = vec![
            actix_rt::spawn(serve(Rc::clone(&shared))),
            actix_rt::spawn(send_downloads(Rc::clone(&shared))),
            actix_rt::spawn(announce_periodically(Rc::clone(&shared))),
        ];
        Ok(Self { shared, tasks })
    }

    /// Announces that the upstream is draining and accepts no new flows.
    pub async fn drain(&self) {
        self.shared.draining.set(true);
        self.shared.announce().await;
    }

    /// Shuts down gracefully: drains, waits for the open flows to end, for at
    /// most `leave_ms`, and withdraws.
    pub async fn leave(&self) {
        let deadline = Instant::now() + Duration::from_millis(self.shared.settings.leave_ms);
        self.drain().await;
        while self.open_flows() > 0 && Instant::now() < deadline {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.withdraw().await;
    }

    /// Withdraws this incarnation from the entries and stops serving.
    pub async fn withdraw(&self) {
        self.shared.unresponsive.set(true);
        let settings = &self.shared.settings;
        announcer::withdraw(
            &settings.announce,
            &settings.service,
            &settings.name,
            self.shared.incarnation.get(),
        )
        .await;
    }

    /// Restarts with a new incarnation at the same address, without any flows.
    pub async fn restart(&self) {
        let shared = &self.shared;
        shared.incarnation.set(shared.incarnation.get() + 1);
        shared.server.borrow_mut().restart(Instant::now());
        shared.draining.set(false);
        shared.unresponsive.set(false);
        shared.announce().await;
    }

    /// Stops or resumes all traffic, as a VM that hangs; flows are kept.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.unresponsive.set(unresponsive);
    }

    /// Returns the name of the upstream.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the name of the service it serves.
    pub fn service(&self) -> &str {
        &self.shared.settings.service
    }

    /// Returns the number of open flows.
    pub fn open_flows(&self) -> usize {
        self.shared.server.borrow().open_flows()
    }

    /// Returns the number of flows accepted, including before restarts.
    pub fn accepted(&self) -> u64 {
        self.shared.server.borrow().accepted
    }

    /// Returns the number of packets received for another service.
    pub fn misrouted(&self) -> u64 {
        self.shared.server.borrow().misrouted
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn first_incarnation(settings: &UpstreamSettings) -> Incarnation {
    if settings.incarnation != 0 {
        return settings.incarnation;
    }
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(1)
}

async fn announce_periodically(shared: Rc<Shared>) {
    loop {
        if !shared.unresponsive.get() {
            shared.announce().await;
        }
        actix_rt::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn serve(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, entry)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        if shared.unresponsive.get() {
            continue;
        }
        let now = Instant::now();
        shared.live_entries.borrow_mut().record_packet(now, entry);
        let Some(segment) = Segment::decode(&buf[..len]) else {
            continue;
        };
        let (answer, pending) = shared.server.borrow_mut().process(now, &segment);
        if let Some(answer) = answer {
            shared.send(&answer);
        }
        if let Some(pending) = pending {
            actix_rt::spawn(finish(Rc::clone(&shared), pending));
        }
    }
}

async fn finish(shared: Rc<Shared>, pending: PendingRequest) {
    actix_rt::time::sleep_until(pending.completes_at.into()).await;
    let answer = shared.server.borrow_mut().finish(&pending);
    if let Some(answer) = answer {
        shared.send(&answer);
    }
}

async fn send_downloads(shared: Rc<Shared>) {
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let due = shared.server.borrow_mut().tick(Instant::now());
        for segment in due {
            shared.send(&segment);
        }
    }
}

impl Shared {
    async fn announce(&self) {
        let settings = &self.settings;
        let announcement = Announcement {
            incarnation: self.incarnation.get(),
            address: self.address,
            domain: settings.domain.clone(),
            slots: settings.slots,
            state: self.state(),
            load: None,
        };
        announcer::announce(
            &settings.announce,
            &settings.service,
            &settings.name,
            &announcement,
        )
        .await;
    }

    fn state(&self) -> UpstreamState {
        if self.draining.get() {
            UpstreamState::Draining
        } else if self.server.borrow().is_warming(Instant::now()) {
            UpstreamState::Warming
        } else {
            UpstreamState::Ready
        }
    }

    fn send(&self, segment: &Segment) {
        if self.unresponsive.get() {
            return;
        }
        let random = self.rng.borrow_mut().random_range(0..usize::MAX);
        let entry = self
            .live_entries
            .borrow_mut()
            .choose(Instant::now(), random);
        if let Some(entry) = entry {
            // The packet is dropped if the send buffer is full, as on a congested link.
            let _ = self.socket.try_send_to(&segment.encode(), entry);
        }
    }
}
