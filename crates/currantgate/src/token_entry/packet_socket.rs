//! The socket through which packets are received and sent.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use currantgate_token::{Decision, FlowId, NextHop};
use tokio::net::UdpSocket;

use super::format::{Packet, WireFormat};
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

    /// Processes the packets that have arrived, at most one batch. Returns whether all of
    /// them were processed.
    pub(super) fn process_batch(&mut self, routing: &mut Routing) -> bool {
        let now = Instant::now();
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv(&mut self.buf[F::HEADROOM..]) {
                Ok(len) => {
                    if let Some(limit) = routing.router.capacity_limit() {
                        limit.record_packet(Instant::now());
                    }
                    self.handle(now, len, routing);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if let Some(limit) = routing.router.capacity_limit() {
                        limit.record_empty(Instant::now());
                    }
                    return true;
                }
                // An ICMP error for an earlier packet that was sent to a closed
                // port.
                Err(e) => log::debug!("receiving a packet failed: {e}"),
            }
        }
        false
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
                let was_full = self.forward(end, &hop, routing);
                if was_full && let Packet::First(_) = packet {
                    routing.router.record_unsent(now, &flow);
                }
            }
            Decision::Reset(_) => self.send_reset(&flow, routing),
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
                    if self.forward(end, &hop, routing) {
                        routing.router.record_unsent(now, &flow);
                    }
                }
                Decision::Reset(_) => self.send_reset(&flow, routing),
                Decision::Drop(_) | Decision::Wait => {}
            }
        }
    }

    /// Forwards the packet that ends at `end` in the buffer; returns whether the link's buffer
    /// was full, where the entry's own limit is watched.
    fn forward(&mut self, end: usize, hop: &NextHop, routing: &mut Routing) -> bool {
        self.format.write_hop(&mut self.buf[..end], hop);
        self.send(&self.buf[..end], hop.address, routing)
    }

    fn send_reset(&self, flow: &FlowId, routing: &mut Routing) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.port);
        self.send(&self.format.build_reset(flow), caller, routing);
    }

    /// Sends a packet; returns whether the link's buffer was full, where the entry's own
    /// limit is watched.
    fn send(&self, packet: &[u8], to: SocketAddrV4, routing: &mut Routing) -> bool {
        let result = self.socket.try_send_to(packet, to.into());
        if let Err(e) = &result {
            routing.metrics.count_failed_send();
            log::debug!("sending a packet to {to} failed: {e}");
        }
        let Some(limit) = routing.router.capacity_limit() else {
            return false;
        };
        match result {
            Ok(_) => limit.record_sent(),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                limit.record_full(Instant::now());
                return true;
            }
            // An ICMP error for an earlier packet, or an address that can't be reached.
            Err(_) => {}
        }
        false
    }
}
