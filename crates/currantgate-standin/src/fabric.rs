//! A fabric that sprays packets over the entries at random.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use currantgate_config::Domain;
use etherparse::Ipv4HeaderSlice;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpStream, UdpSocket};

use crate::entry_pool::EntryPool;
use crate::{FabricSettings, Faults, SprayTarget, StandinError};

/// Maximum size of a UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Interval between health checks of the entries.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a health check's TCP connection.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// A fabric that forwards each packet of a caller to a randomly chosen entry.
///
/// Callers and entries both send it encapsulated packets. It records the UDP
/// address of a caller from the caller's own packets. Entries that no longer
/// accept connections are excluded within a second, as by a fabric with health
/// checks of its next hops.
pub struct Fabric {
    handle: FabricHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Handle that reconfigures a running fabric.
#[derive(Clone)]
pub struct FabricHandle {
    caller_side: SocketAddr,
    entry_side: SocketAddr,
    entry_pool: Rc<RefCell<EntryPool>>,
    faults: Rc<RefCell<Faults>>,
}

impl FabricHandle {
    /// Returns the address to which callers send packets.
    pub fn caller_side(&self) -> SocketAddr {
        self.caller_side
    }

    /// Returns the address to which entries send packets for callers.
    pub fn entry_side(&self) -> SocketAddr {
        self.entry_side
    }

    /// Sets the entries that packets are sprayed over.
    pub fn set_entries(&self, entries: Vec<SprayTarget>) {
        self.entry_pool.borrow_mut().set_targets(entries);
    }

    /// Isolates a failure domain, in place of the one isolated before: packets
    /// to and from its entries are dropped.
    pub fn set_isolated_domain(&self, domain: Option<Domain>) {
        self.entry_pool.borrow_mut().set_isolated_domain(domain);
    }

    /// Sets the faults that are injected in both directions.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.borrow_mut() = faults;
    }
}

/// Side on which a packet leaves the fabric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Callers,
    Entries,
}

struct Shared {
    caller_side: UdpSocket,
    entry_side: UdpSocket,
    entry_pool: Rc<RefCell<EntryPool>>,
    faults: Rc<RefCell<Faults>>,
    callers: RefCell<HashMap<Ipv4Addr, SocketAddr>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Fabric {
    /// Starts a fabric.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket can't be bound.
    pub async fn start(settings: FabricSettings) -> Result<Self, StandinError> {
        let error = |e| StandinError::Socket("fabric", e);
        let caller_side = UdpSocket::bind(settings.callers).await.map_err(error)?;
        let entry_side = UdpSocket::bind(settings.answers).await.map_err(error)?;
        let handle = FabricHandle {
            caller_side: caller_side.local_addr().map_err(error)?,
            entry_side: entry_side.local_addr().map_err(error)?,
            entry_pool: Rc::default(),
            faults: Rc::new(RefCell::new(settings.faults)),
        };
        handle.set_entries(settings.entries);
        let shared = Rc::new(Shared {
            caller_side,
            entry_side,
            entry_pool: Rc::clone(&handle.entry_pool),
            faults: Rc::clone(&handle.faults),
            callers: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(settings.seed)),
        });
        let tasks = vec![
            actix_rt::spawn(spray_packets(Rc::clone(&shared))),
            actix_rt::spawn(forward_answers(shared)),
            actix_rt::spawn(check_entry_health(Rc::clone(&handle.entry_pool))),
        ];
        Ok(Self { handle, tasks })
    }

    /// Returns a handle to the running fabric.
    pub fn handle(&self) -> FabricHandle {
        self.handle.clone()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn spray_packets(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = shared.caller_side.recv_from(&mut buf).await else {
            continue;
        };
        let Ok(header) = Ipv4HeaderSlice::from_slice(&buf[..len]) else {
            continue;
        };
        shared
            .callers
            .borrow_mut()
            .insert(header.source_addr(), from);
        if let Some(entry) = shared.choose_entry() {
            shared.forward(Side::Entries, &buf[..len], entry);
        }
    }
}

async fn forward_answers(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, entry)) = shared.entry_side.recv_from(&mut buf).await else {
            continue;
        };
        let Ok(header) = Ipv4HeaderSlice::from_slice(&buf[..len]) else {
            continue;
        };
        if shared.entry_pool.borrow().is_isolated(entry) {
            continue;
        }
        let caller = shared
            .callers
            .borrow()
            .get(&header.destination_addr())
            .copied();
        if let Some(caller) = caller {
            shared.forward(Side::Callers, &buf[..len], caller);
        }
    }
}

async fn check_entry_health(entry_pool: Rc<RefCell<EntryPool>>) {
    loop {
        let check_addresses = entry_pool.borrow().check_addresses();
        for check in check_addresses {
            let entry_pool = Rc::clone(&entry_pool);
            actix_rt::spawn(async move {
                let connect = TcpStream::connect(check);
                let answer = actix_rt::time::timeout(HEALTH_CHECK_TIMEOUT, connect).await;
                let healthy = matches!(answer, Ok(Ok(_)));
                entry_pool.borrow_mut().set_healthy(check, healthy);
            });
        }
        actix_rt::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

impl Shared {
    fn choose_entry(&self) -> Option<SocketAddr> {
        let entry_pool = self.entry_pool.borrow();
        let healthy_entries = entry_pool.healthy_entries();
        if healthy_entries.is_empty() {
            return None;
        }
        let i = self.rng.borrow_mut().random_range(0..healthy_entries.len());
        Some(healthy_entries[i]).filter(|entry| !entry_pool.is_isolated(*entry))
    }

    /// Forwards a packet and injects the configured faults.
    fn forward(self: &Rc<Self>, side: Side, packet: &[u8], to: SocketAddr) {
        let outcome = self.faults.borrow().sample(&mut *self.rng.borrow_mut());
        for _ in 0..outcome.copies {
            match outcome.delay {
                None => self.send(side, packet, to),
                Some(delay) => self.send_later(delay, side, packet.to_vec(), to),
            }
        }
    }

    fn send_later(self: &Rc<Self>, delay: Duration, side: Side, packet: Vec<u8>, to: SocketAddr) {
        let shared = Rc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            shared.send(side, &packet, to);
        });
    }

    fn send(&self, side: Side, packet: &[u8], to: SocketAddr) {
        let socket = match side {
            Side::Callers => &self.caller_side,
            Side::Entries => &self.entry_side,
        };
        // The packet is dropped if the send buffer is full, as on a congested link.
        let _ = socket.try_send_to(packet, to);
    }
}
