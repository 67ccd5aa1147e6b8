//! The socket that packets come and go through.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use currantgate_token::{Decision, FlowId};
use tokio::net::UdpSocket;

use super::format::WireFormat;
use super::metrics::TokenEntryMetrics;
use super::routing::Routing;

/// The largest datagram that is read; longer ones are cut and then malformed.
const MAX_DATAGRAM: usize = 2_048;

/// Packets that are taken in a row before timers and feeds get their turn.
const BATCH: usize = 64;

/// The socket's buffers: a burst of some tenths of a second at a busy entry.
const SOCKET_BUFFER: usize = 1 << 20;

/// The socket that packets come and go through, and its buffer.
pub(super) struct Packets<F> {
    socket: UdpSocket,
    port: u16,
    format: F,
    buf: Vec<u8>,
}

impl<F: WireFormat> Packets<F> {
    pub(super) fn bind(address: SocketAddrV4, format: F) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
        // A smaller buffer only loses packets earlier.
        if let Err(e) = socket.set_recv_buffer_size(SOCKET_BUFFER) {
            log::info!("the buffer for packets keeps its size: {e}");
        }
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from(address).into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let port = socket.local_addr()?.port();
        Ok(Self {
            socket,
            port,
            format,
            buf: vec![0; F::HEADROOM + MAX_DATAGRAM],
        })
    }

    pub(super) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    pub(super) fn format(&self) -> &F {
        &self.format
    }

    pub(super) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Takes the packets that have come, up to a batch.
    pub(super) fn take(&mut self, routing: &mut Routing) {
        let now = Instant::now();
        for _ in 0..BATCH {
            match self.socket.try_recv(&mut self.buf[F::HEADROOM..]) {
                Ok(len) => self.handle(now, len, routing),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The answer to an earlier packet to a port that is closed.
                Err(e) => log::debug!("a packet could not be read: {e}"),
            }
        }
    }

    fn handle(&mut self, now: Instant, len: usize, routing: &mut Routing) {
        let end = F::HEADROOM + len;
        let packet = match self.format.parse(&self.buf[F::HEADROOM..end]) {
            Ok(packet) => packet,
            Err(reason) => return routing.record_malformed(now, len, reason),
        };
        let (flow, decision) = routing.decide(now, packet);
        match decision {
            Decision::Forward(hop) => {
                self.format.write_hop(&mut self.buf[..end], &hop);
                self.send(&self.buf[..end], hop.address, &routing.metrics);
            }
            Decision::Reset(_) => self.reset(&flow, &routing.metrics),
            Decision::Drop(_) => {}
        }
    }

    fn reset(&self, flow: &FlowId, metrics: &TokenEntryMetrics) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.port);
        self.send(&self.format.build_reset(flow), caller, metrics);
    }

    fn send(&self, packet: &[u8], to: SocketAddrV4, metrics: &TokenEntryMetrics) {
        if let Err(e) = self.socket.try_send_to(packet, to.into()) {
            metrics.count_failed_send();
            log::debug!("a packet to {to} is lost: {e}");
        }
    }
}
