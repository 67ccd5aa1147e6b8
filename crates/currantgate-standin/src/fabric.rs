//! A fabric that sprays each packet over the entries at random.

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

use crate::entry_pool::Spray;
use crate::{FabricSettings, Faults, SprayTarget, StandinError};

/// The largest datagram that UDP can carry.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// How often entries are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long an entry may take to accept a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// A fabric that hands each caller's packet to an entry chosen at random.
///
/// Callers and entries both send it encapsulated packets. It learns where a
/// caller is from the caller's own packets. Entries that no longer accept
/// connections are left out within a second, as a fabric that checks its next
/// hops would do.
pub struct Fabric {
    handle: FabricHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Changes what the fabric does while it runs.
#[derive(Clone)]
pub struct FabricHandle {
    caller_side: SocketAddr,
    entry_side: SocketAddr,
    spray: Rc<RefCell<Spray>>,
    faults: Rc<RefCell<Faults>>,
}

impl FabricHandle {
    /// Returns where callers send their packets.
    pub fn caller_side(&self) -> SocketAddr {
        self.caller_side
    }

    /// Returns where entries send answers.
    pub fn entry_side(&self) -> SocketAddr {
        self.entry_side
    }

    /// Sets the entries that packets are sprayed over.
    pub fn set_entries(&self, entries: Vec<SprayTarget>) {
        self.spray.borrow_mut().set_targets(entries);
    }

    /// Cuts a failure domain off, in place of the one that was cut off
    /// before: packets to and from its entries are lost.
    pub fn set_isolated_domain(&self, domain: Option<Domain>) {
        self.spray.borrow_mut().set_isolated_domain(domain);
    }

    /// Sets what the fabric does to packets of both directions.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.borrow_mut() = faults;
    }
}

/// Where a packet leaves the fabric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Callers,
    Entries,
}

struct Shared {
    caller_side: UdpSocket,
    entry_side: UdpSocket,
    spray: Rc<RefCell<Spray>>,
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
            spray: Rc::default(),
            faults: Rc::new(RefCell::new(settings.faults)),
        };
        handle.set_entries(settings.entries);
        let shared = Rc::new(Shared {
            caller_side,
            entry_side,
            spray: Rc::clone(&handle.spray),
            faults: Rc::clone(&handle.faults),
            callers: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(settings.seed)),
        });
        let tasks = vec![
            actix_rt::spawn(spray(Rc::clone(&shared))),
            actix_rt::spawn(return_answers(shared)),
            actix_rt::spawn(check_entries(Rc::clone(&handle.spray))),
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

async fn spray(shared: Rc<Shared>) {
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
            shared.carry(Side::Entries, &buf[..len], entry);
        }
    }
}

async fn return_answers(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, entry)) = shared.entry_side.recv_from(&mut buf).await else {
            continue;
        };
        let Ok(header) = Ipv4HeaderSlice::from_slice(&buf[..len]) else {
            continue;
        };
        if shared.spray.borrow().is_isolated(entry) {
            continue;
        }
        let caller = shared
            .callers
            .borrow()
            .get(&header.destination_addr())
            .copied();
        if let Some(caller) = caller {
            shared.carry(Side::Callers, &buf[..len], caller);
        }
    }
}

async fn check_entries(spray: Rc<RefCell<Spray>>) {
    loop {
        let checks = spray.borrow().checks();
        for check in checks {
            let spray = Rc::clone(&spray);
            actix_rt::spawn(async move {
                let connect = TcpStream::connect(check);
                let answer = actix_rt::time::timeout(CHECK_TIMEOUT, connect).await;
                let healthy = matches!(answer, Ok(Ok(_)));
                spray.borrow_mut().set_healthy(check, healthy);
            });
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}

impl Shared {
    fn choose_entry(&self) -> Option<SocketAddr> {
        let spray = self.spray.borrow();
        let live = spray.live();
        if live.is_empty() {
            return None;
        }
        let i = self.rng.borrow_mut().random_range(0..live.len());
        Some(live[i]).filter(|entry| !spray.is_isolated(*entry))
    }

    /// Sends a packet, or does to it what the faults ask for.
    fn carry(self: &Rc<Self>, side: Side, packet: &[u8], to: SocketAddr) {
        let fate = self.faults.borrow().draw(&mut *self.rng.borrow_mut());
        for _ in 0..fate.copies {
            match fate.delay {
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
        // A full socket loses the packet, as a full link would.
        let _ = socket.try_send_to(packet, to);
    }
}
