//! An upstream that answers TCP flows as a kernel would.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use currantgate_config::Incarnation;
use currantgate_membership::{Announcement, UpstreamState};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::StandinError;
use crate::announcer;
use crate::segment::{Flags, Segment};

/// How often an announcement is renewed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// The first sequence number that an upstream uses.
const FIRST_SEQ: u32 = 1_000;

/// The largest datagram that UDP can carry.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// What a stand-in upstream is told at the start.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// The service it serves.
    pub service: Box<str>,
    /// Its own name.
    pub name: Box<str>,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// The failure domain it stands in.
    pub domain: Box<str>,
    /// The service's address, to which it answers.
    pub service_address: SocketAddrV4,
    /// The address it takes encapsulated packets on; port 0 lets the system choose.
    pub listen: SocketAddrV4,
    /// Where the entries of its domain take announcements.
    pub announce: Vec<SocketAddr>,
    /// Where entries take encapsulated answers; each answer goes to one at random.
    pub entries: Vec<SocketAddr>,
    /// Seeds the choice of entries.
    pub seed: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            service: "".into(),
            name: "".into(),
            incarnation: 1,
            domain: "".into(),
            service_address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            announce: Vec::new(),
            entries: Vec::new(),
            seed: 0,
        }
    }
}

/// A running stand-in upstream.
pub struct Upstream {
    shared: Rc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    settings: UpstreamSettings,
    address: SocketAddr,
    socket: UdpSocket,
    state: Cell<UpstreamState>,
    flows: RefCell<HashMap<SocketAddrV4, u32>>,
    accepted: Cell<u64>,
    misrouted: Cell<u64>,
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
            state: Cell::new(UpstreamState::Ready),
            flows: RefCell::default(),
            accepted: Cell::new(0),
            misrouted: Cell::new(0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            settings,
        });
        let tasks = vec![
            actix_rt::spawn(serve(Rc::clone(&shared))),
            actix_rt::spawn(keep_announced(Rc::clone(&shared))),
        ];
        Ok(Self { shared, tasks })
    }

    /// Announces that the upstream takes no more new flows.
    pub async fn drain(&self) {
        self.shared.state.set(UpstreamState::Draining);
        self.shared.announce().await;
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
        self.shared.flows.borrow().len()
    }

    /// Returns how many flows were accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.get()
    }

    /// Returns how many packets for another service arrived.
    pub fn misrouted(&self) -> u64 {
        self.shared.misrouted.get()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn keep_announced(shared: Rc<Shared>) {
    loop {
        shared.announce().await;
        actix_rt::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn serve(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(segment) = Segment::decode(&buf[..len]) else {
            continue;
        };
        if segment.to != shared.settings.service_address {
            shared.misrouted.set(shared.misrouted.get() + 1);
            continue;
        }
        if let Some(answer) = shared.answer(&segment) {
            shared.send(&answer);
        }
    }
}

impl Shared {
    async fn announce(&self) {
        let announcement = Announcement {
            incarnation: self.settings.incarnation,
            address: self.address,
            domain: self.settings.domain.clone(),
            slots: 1,
            state: self.state.get(),
            load: None,
        };
        announcer::announce(
            &self.settings.announce,
            &self.settings.service,
            &self.settings.name,
            &announcement,
        )
        .await;
    }

    fn answer(&self, segment: &Segment) -> Option<Segment> {
        let reply = |seq, flags, payload| Segment {
            from: segment.to,
            to: segment.from,
            seq,
            ack: segment.next_seq(),
            flags,
            payload,
        };
        let ack = Flags {
            ack: true,
            ..Flags::default()
        };
        let mut flows = self.flows.borrow_mut();
        if segment.flags.rst {
            flows.remove(&segment.from);
            return None;
        }
        if segment.flags.syn {
            if flows.insert(segment.from, FIRST_SEQ + 1).is_none() {
                self.accepted.set(self.accepted.get() + 1);
            }
            return Some(reply(FIRST_SEQ, Flags { syn: true, ..ack }, Vec::new()));
        }
        let Some(next) = flows.get_mut(&segment.from) else {
            let reset = Flags {
                rst: true,
                ..Flags::default()
            };
            return Some(reply(segment.ack, reset, Vec::new()));
        };
        if segment.flags.fin {
            let seq = *next;
            flows.remove(&segment.from);
            return Some(reply(seq, Flags { fin: true, ..ack }, Vec::new()));
        }
        if segment.payload.is_empty() {
            return None;
        }
        let payload = self.echo(&segment.payload);
        let seq = *next;
        *next = next.wrapping_add(u32::try_from(payload.len()).unwrap_or(0));
        Some(reply(seq, ack, payload))
    }

    /// Returns the answer to a request: who answers, then the request itself.
    fn echo(&self, request: &[u8]) -> Vec<u8> {
        let mut payload = format!("{}/{} ", self.settings.service, self.settings.name).into_bytes();
        payload.extend_from_slice(request);
        payload
    }

    fn send(&self, segment: &Segment) {
        let entries = &self.settings.entries;
        if entries.is_empty() {
            return;
        }
        let i = self.rng.borrow_mut().random_range(0..entries.len());
        // A full socket loses the packet, as a full link would.
        let _ = self.socket.try_send_to(&segment.encode(), entries[i]);
    }
}
