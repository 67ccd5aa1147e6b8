//! The socket through which packets are received and sent.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use currantgate_token::{Decision, FlowId};
use tokio::net::UdpSocket;

use super::format::WireFormat;
use super::metrics::TokenEntryMetrics;
use super::routing::Routing;
use super::waiting_packets::WaitingPackets;

/// Bytes read of a datagram. Longer datagrams are truncated, and are then rejected
/// as malformed.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Most packets processed in a row before timers and feeds are served.
const MAX_BATCH: usize = 64;

/// Size of the socket's receive buffer, which holds a burst of some tenths of a
/// second at a busy entry.
const RECV_BUFFER_BYTES: usize = 1 << 20;

/// The packet socket, the format of its packets and a buffer for one of them.
pub(super) struct PacketSocket<F> {
    socket: UdpSocket,
    port: u16,
    format: F,
    buf: Vec<u8>,
    waiting: WaitingPackets,
}

impl<F: WireFormat> PacketSocket<F> {
    pub(super) fn bind(address: SocketAddrV4, format: F) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
        // With a smaller buffer, packets are only lost earlier in a burst.
        if let Err(e) = socket.set_recv_buffer_size(RECV_BUFFER_BYTES) {
            log::info!("the receive buffer for packets keeps its size: {e}");
        }
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from(address).into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let port = socket.local_addr()?.port();
        Ok(Self {
            socket,
            port,
            format,
            buf: vec![0; F::HEADROOM + MAX_DATAGRAM_BYTES],
            waiting: WaitingPackets::default(),
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

    /// Processes the packets that have arrived, at most one batch.
    pub(super) fn process_batch(&mut self, routing: &mut Routing) {
        let now = Instant::now();
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv(&mut self.buf[F::HEADROOM..]) {
                Ok(len) => self.handle(now, len, routing),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // An ICMP error for an earlier packet that was sent to a closed
                // port.
                Err(e) => log::debug!("receiving a packet failed: {e}"),
            }
        }
    }

    fn handle(&mut self, now: Instant, len: usize, routing: &mut Routing) {
        let end = F::HEADROOM + len;
        let packet = match self.format.parse(&self.buf[F::HEADROOM..end]) {
            Ok(packet) => packet,
            Err(reason) => return routing.record_malformed(now, len, reason),
        };
        let (flow, decision) = routing.decide(now, packet, len);
        match decision {
            Decision::Forward(hop) => {
                self.format.write_hop(&mut self.buf[..end], &hop);
                self.send(&self.buf[..end], hop.address, &routing.metrics);
            }
            Decision::Reset(_) => self.send_reset(&flow, &routing.metrics),
            Decision::Drop(_) => {}
            Decision::Wait => self.waiting.insert(flow, &self.buf[F::HEADROOM..end]),
        }
    }

    /// Forwards or resets the flows that have waited and leave the queue now.
    pub(super) fn release_waiting(&mut self, now: Instant, routing: &mut Routing) {
        while let Some((flow, decision)) = routing.next_departure(now) {
            let Some(packet) = self.waiting.remove(&flow) else {
                log::error!("the first packet of waiting flow {flow} is missing");
                continue;
            };
            match decision {
                Decision::Forward(hop) => {
                    let end = F::HEADROOM + packet.len();
                    self.buf[F::HEADROOM..end].copy_from_slice(&packet);
                    self.format.write_hop(&mut self.buf[..end], &hop);
                    self.send(&self.buf[..end], hop.address, &routing.metrics);
                }
                Decision::Reset(_) => self.send_reset(&flow, &routing.metrics),
                Decision::Drop(_) | Decision::Wait => {}
            }
        }
    }

    fn send_reset(&self, flow: &FlowId, metrics: &TokenEntryMetrics) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.port);
        self.send(&self.format.build_reset(flow), caller, metrics);
    }

    fn send(&self, packet: &[u8], to: SocketAddrV4, metrics: &TokenEntryMetrics) {
        if let Err(e) = self.socket.try_send_to(packet, to.into()) {
            metrics.count_failed_send();
            log::debug!("sending a packet to {to} failed: {e}");
        }
    }
}
