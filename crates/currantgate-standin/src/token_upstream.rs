//! An upstream of token flows.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use indexmap::IndexMap;
use indexmap::map::Entry;
use tokio::net::UdpSocket;

use crate::token_codec::{TokenCodec, TokenFlags, TokenPacket};

/// Initial sequence number of an upstream.
const INITIAL_SEQ: u32 = 7_000;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Counters of an upstream.
#[derive(Debug, Default)]
pub struct TokenUpstreamStats {
    /// Number of requests run; a retransmitted request of a flow runs once.
    pub requests_run: Cell<usize>,
    /// Number of runs of each request, by the request's bytes.
    pub runs_by_request: RefCell<IndexMap<Vec<u8>, usize>>,
    /// Arrival times of the first packets of new flows, oldest first; copies of a
    /// first packet don't count.
    pub opened_at: RefCell<Vec<Instant>>,
    /// Packets of unknown flows, which were reset.
    pub unknown_flow_packets: Cell<usize>,
    /// Packets of flows that the caller has ended, which were reset: late copies.
    pub ended_flow_packets: Cell<usize>,
    /// Packets for another upstream, which were ignored.
    pub other_upstream_packets: Cell<usize>,
}

/// An upstream of token flows, which stops when it is dropped.
///
/// It responds to each request with one packet, directly to the caller.
pub struct TokenUpstream {
    address: SocketAddrV4,
    stats: Rc<TokenUpstreamStats>,
    work_time: Rc<Cell<Duration>>,
    task: JoinHandle<()>,
}

impl TokenUpstream {
    /// Starts an upstream on `socket` with the identity `identity`; callers
    /// receive packets on port `caller_port`.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket has no IPv4 address.
    pub fn start<W: TokenCodec>(
        socket: std::net::UdpSocket,
        identity: u64,
        caller_port: u16,
        codec: W,
    ) -> io::Result<Self> {
        let SocketAddr::V4(address) = socket.local_addr()? else {
            return Err(io::Error::other("the socket has no IPv4 address"));
        };
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let stats = Rc::new(TokenUpstreamStats::default());
        let work_time = Rc::new(Cell::default());
        let server = Server {
            socket,
            identity,
            caller_port,
            codec,
            flows: RefCell::default(),
            stats: Rc::clone(&stats),
            work_time: Rc::clone(&work_time),
        };
        let task = actix_rt::spawn(server.run());
        Ok(Self {
            address,
            stats,
            work_time,
            task,
        })
    }

    /// Returns the address on which it receives packets.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Stops the upstream, as if its VM failed; the counters are kept.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Sets the time that the upstream works on each request, one after the other; 0 at
    /// the start.
    pub fn set_work_time(&self, time: Duration) {
        self.work_time.set(time);
    }

    /// Returns the counters.
    pub fn stats(&self) -> &TokenUpstreamStats {
        &self.stats
    }
}

impl Drop for TokenUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A flow, as far as the upstream has seen it.
#[derive(Debug, Default)]
struct Flow {
    has_run: bool,
    has_ended: bool,
}

struct Server<W> {
    socket: UdpSocket,
    identity: u64,
    caller_port: u16,
    codec: W,
    /// Flows by caller and service address; ended ones are kept.
    flows: RefCell<IndexMap<(SocketAddrV4, SocketAddrV4), Flow>>,
    stats: Rc<TokenUpstreamStats>,
    work_time: Rc<Cell<Duration>>,
}

impl<W: TokenCodec> Server<W> {
    async fn run(self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv(&mut buf).await {
                Ok(len) => self.handle_datagram(&buf[..len]).await,
                Err(e) => log::debug!("failed to receive a packet: {e}"),
            }
        }
    }

    async fn handle_datagram(&self, datagram: &[u8]) {
        let Some((identity, rest)) = self.codec.split_identity(datagram) else {
            return;
        };
        if identity != 0 && identity != self.identity {
            self.stats
                .other_upstream_packets
                .set(self.stats.other_upstream_packets.get() + 1);
            return;
        }
        if let Some(packet) = self.codec.decode(rest)
            && let Some(reply) = self.reply_to(&packet)
        {
            if !reply.data.is_empty() && !self.work_time.get().is_zero() {
                actix_rt::time::sleep(self.work_time.get()).await;
            }
            let to = SocketAddrV4::new(*packet.from.ip(), self.caller_port);
            let datagram = self.codec.encode(&reply);
            if let Err(e) = self.socket.try_send_to(&datagram, to.into()) {
                log::debug!("failed to send a reply to {to}: {e}");
            }
        }
    }

    fn reply_to(&self, packet: &TokenPacket) -> Option<TokenPacket> {
        let flow = (packet.from, packet.to);
        let mut flows = self.flows.borrow_mut();
        let make_reply = |flags, data| TokenPacket {
            from: packet.to,
            to: packet.from,
            token: packet.token,
            seq: INITIAL_SEQ,
            ack: packet.seq,
            flags,
            data,
        };
        if packet.flags.open {
            if let Entry::Vacant(vacant) = flows.entry(flow) {
                vacant.insert(Flow::default());
                self.stats.opened_at.borrow_mut().push(Instant::now());
            }
            let flags = TokenFlags {
                open: true,
                ack: true,
                ..TokenFlags::default()
            };
            return Some(make_reply(flags, Vec::new()));
        }
        let known = flows.get_mut(&flow);
        let counter = match &known {
            None => Some(&self.stats.unknown_flow_packets),
            Some(flow) if flow.has_ended => Some(&self.stats.ended_flow_packets),
            Some(_) => None,
        };
        let (Some(flow), None) = (known, counter) else {
            if let Some(counter) = counter {
                counter.set(counter.get() + 1);
            }
            let flags = TokenFlags {
                reset: true,
                ..TokenFlags::default()
            };
            return Some(make_reply(flags, Vec::new()));
        };
        if packet.flags.end {
            flow.has_ended = true;
            return None;
        }
        if packet.data.is_empty() {
            return None;
        }
        if !std::mem::replace(&mut flow.has_run, true) {
            self.stats
                .requests_run
                .set(self.stats.requests_run.get() + 1);
            let mut runs = self.stats.runs_by_request.borrow_mut();
            *runs.entry(packet.data.clone()).or_default() += 1;
        }
        let flags = TokenFlags {
            ack: true,
            ..TokenFlags::default()
        };
        Some(make_reply(flags, packet.data.clone()))
    }
}
