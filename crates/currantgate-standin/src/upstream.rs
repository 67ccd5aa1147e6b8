//! An upstream that answers TCP flows as a kernel would.

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
use crate::live_entries::Heard;
use crate::segment::Segment;
use crate::server::{Job, Server};
use crate::{StandinError, UpstreamSettings};

/// How often an announcement is renewed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// How often downloads are looked at, and flows while the upstream leaves.
const TICK: Duration = Duration::from_millis(20);

/// The largest datagram that UDP can carry.
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
    heard: RefCell<Heard>,
    rng: RefCell<ChaCha8Rng>,
}

impl Upstream {
    /// Starts an upstream, which announces itself at once.
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
            heard: RefCell::new(Heard::new(settings.entries.clone())),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            settings,
        });
        let tasks = vec![
            actix_rt::spawn(serve(Rc::clone(&shared))),
            actix_rt::spawn(send_downloads(Rc::clone(&shared))),
            actix_rt::spawn(keep_announced(Rc::clone(&shared))),
        ];
        Ok(Self { shared, tasks })
    }

    /// Announces that the upstream takes no more new flows.
    pub async fn drain(&self) {
        self.shared.draining.set(true);
        self.shared.announce().await;
    }

    /// Leaves in plan: drains, waits for the open flows to end, but not for
    /// longer than the settings say, and withdraws.
    pub async fn leave(&self) {
        let deadline = Instant::now() + Duration::from_millis(self.shared.settings.leave_ms);
        self.drain().await;
        while self.open_flows() > 0 && Instant::now() < deadline {
            actix_rt::time::sleep(TICK).await;
        }
        self.withdraw().await;
    }

    /// Tells the entries that this incarnation is no longer there.
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

    /// Starts anew at the same address, without a memory of any flow.
    pub async fn restart(&self) {
        let shared = &self.shared;
        shared.incarnation.set(shared.incarnation.get() + 1);
        shared.server.borrow_mut().restart(Instant::now());
        shared.draining.set(false);
        shared.unresponsive.set(false);
        shared.announce().await;
    }

    /// Goes silent, as a VM that hangs, or comes back with all it knew.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.unresponsive.set(unresponsive);
    }

    /// Returns the upstream's own name.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the name of the service it serves.
    pub fn service(&self) -> &str {
        &self.shared.settings.service
    }

    /// Returns how many flows are open.
    pub fn open_flows(&self) -> usize {
        self.shared.server.borrow().open_flows()
    }

    /// Returns how many flows were accepted since the first start.
    pub fn accepted(&self) -> u64 {
        self.shared.server.borrow().accepted
    }

    /// Returns how many packets for another service arrived.
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

async fn keep_announced(shared: Rc<Shared>) {
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
        shared.heard.borrow_mut().note(now, entry);
        let Some(segment) = Segment::decode(&buf[..len]) else {
            continue;
        };
        let (answer, job) = shared.server.borrow_mut().take(now, &segment);
        if let Some(answer) = answer {
            shared.send(&answer);
        }
        if let Some(job) = job {
            actix_rt::spawn(finish(Rc::clone(&shared), job));
        }
    }
}

async fn finish(shared: Rc<Shared>, job: Job) {
    actix_rt::time::sleep_until(job.done_at.into()).await;
    let answer = shared.server.borrow_mut().finish(&job);
    if let Some(answer) = answer {
        shared.send(&answer);
    }
}

async fn send_downloads(shared: Rc<Shared>) {
    loop {
        actix_rt::time::sleep(TICK).await;
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
        let draw = self.rng.borrow_mut().random_range(0..usize::MAX);
        let entry = self.heard.borrow_mut().choose(Instant::now(), draw);
        if let Some(entry) = entry {
            // A full socket loses the packet, as a full link would.
            let _ = self.socket.try_send_to(&segment.encode(), entry);
        }
    }
}
