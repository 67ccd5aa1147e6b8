//! A fabric that sprays each packet over the entries at random.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use etherparse::Ipv4HeaderSlice;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::StandinError;

/// The largest datagram that UDP can carry.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A fabric that hands each caller's packet to an entry chosen at random.
///
/// Callers and entries both send it encapsulated packets. It learns where a
/// caller is from the caller's own packets.
pub struct Fabric {
    handle: FabricHandle,
    tasks: Vec<JoinHandle<()>>,
}

/// Sets which entries the fabric sprays over, while it runs.
#[derive(Clone)]
pub struct FabricHandle {
    caller_side: SocketAddr,
    entry_side: SocketAddr,
    entries: Rc<RefCell<Vec<SocketAddr>>>,
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
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.borrow_mut() = entries;
    }
}

struct Shared {
    caller_side: UdpSocket,
    entry_side: UdpSocket,
    entries: Rc<RefCell<Vec<SocketAddr>>>,
    callers: RefCell<HashMap<Ipv4Addr, SocketAddr>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Fabric {
    /// Starts a fabric on ports that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket can't be bound.
    pub async fn start(ip: Ipv4Addr, seed: u64) -> Result<Self, StandinError> {
        let bind = async || {
            UdpSocket::bind((ip, 0))
                .await
                .map_err(|e| StandinError::Socket("fabric", e))
        };
        let caller_side = bind().await?;
        let entry_side = bind().await?;
        let address = |socket: &UdpSocket| {
            socket
                .local_addr()
                .map_err(|e| StandinError::Socket("fabric", e))
        };
        let handle = FabricHandle {
            caller_side: address(&caller_side)?,
            entry_side: address(&entry_side)?,
            entries: Rc::default(),
        };
        let shared = Rc::new(Shared {
            caller_side,
            entry_side,
            entries: Rc::clone(&handle.entries),
            callers: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        });
        let tasks = vec![
            actix_rt::spawn(spray(Rc::clone(&shared))),
            actix_rt::spawn(return_answers(shared)),
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
            // A full socket loses the packet, as a full link would.
            let _ = shared.entry_side.try_send_to(&buf[..len], entry);
        }
    }
}

async fn return_answers(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = shared.entry_side.recv_from(&mut buf).await else {
            continue;
        };
        let Ok(header) = Ipv4HeaderSlice::from_slice(&buf[..len]) else {
            continue;
        };
        let caller = shared
            .callers
            .borrow()
            .get(&header.destination_addr())
            .copied();
        if let Some(caller) = caller {
            let _ = shared.caller_side.try_send_to(&buf[..len], caller);
        }
    }
}

impl Shared {
    fn choose_entry(&self) -> Option<SocketAddr> {
        let entries = self.entries.borrow();
        if entries.is_empty() {
            return None;
        }
        let i = self.rng.borrow_mut().random_range(0..entries.len());
        Some(entries[i])
    }
}
