//! A caller that opens token flows.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::token_codec::{TokenCodec, TokenFlags, TokenPacket};

/// Retransmission timeout.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of transmissions of a packet.
const MAX_TRANSMISSIONS: u32 = 8;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Default request.
const DEFAULT_REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// The response arrived.
    Answered,
    /// The flow was reset before it opened, so the request did not run.
    Refused,
    /// The flow was reset after it opened.
    Broken,
    /// All transmissions timed out.
    TimedOut,
}

/// A caller that opens a token flow for each request.
pub struct TokenCaller<W> {
    socket: UdpSocket,
    address: Ipv4Addr,
    next_port: u16,
    codec: W,
}

impl<W: TokenCodec> TokenCaller<W> {
    /// Binds a caller to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is in use.
    pub async fn bind(address: SocketAddrV4, codec: W) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            address: *address.ip(),
            next_port: 40_000,
            codec,
        })
    }

    /// Sends a default request to `service` through `entries`, which alternate
    /// with each transmission.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket fails.
    pub async fn request(
        &mut self,
        service: SocketAddrV4,
        entries: &[SocketAddr],
    ) -> io::Result<TokenOutcome> {
        self.send_request(service, entries, DEFAULT_REQUEST).await
    }

    /// Sends a request with the given bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket fails.
    pub async fn send_request(
        &mut self,
        service: SocketAddrV4,
        entries: &[SocketAddr],
        bytes: &[u8],
    ) -> io::Result<TokenOutcome> {
        self.send_request_after(Duration::ZERO, service, entries, bytes)
            .await
    }

    /// Sends a request with the given bytes after its flow has been open for
    /// `pause`.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket fails.
    pub async fn send_request_after(
        &mut self,
        pause: Duration,
        service: SocketAddrV4,
        entries: &[SocketAddr],
        bytes: &[u8],
    ) -> io::Result<TokenOutcome> {
        self.next_port += 1;
        let mut packet = TokenPacket {
            from: SocketAddrV4::new(self.address, self.next_port),
            to: service,
            token: 0,
            seq: 100,
            ack: 0,
            flags: TokenFlags {
                open: true,
                ..TokenFlags::default()
            },
            data: Vec::new(),
        };
        let Some(opened) = self.exchange(&mut packet, entries).await? else {
            return Ok(TokenOutcome::TimedOut);
        };
        if opened.flags.reset {
            return Ok(TokenOutcome::Refused);
        }
        sleep(pause).await;
        packet.token = opened.token;
        packet.ack = opened.seq;
        packet.flags = TokenFlags {
            ack: true,
            ..TokenFlags::default()
        };
        packet.data = bytes.to_vec();
        let reply = self.exchange(&mut packet, entries).await?;
        packet.data.clear();
        packet.flags.end = true;
        self.send(&packet, entries[0]).await?;
        Ok(match reply {
            Some(reply) if reply.flags.reset => TokenOutcome::Broken,
            Some(_) => TokenOutcome::Answered,
            None => TokenOutcome::TimedOut,
        })
    }

    /// Sends a packet, with retransmissions, until a reply arrives.
    ///
    /// An opening packet carries the number of earlier transmissions in its
    /// `ack` field.
    async fn exchange(
        &self,
        packet: &mut TokenPacket,
        entries: &[SocketAddr],
    ) -> io::Result<Option<TokenPacket>> {
        for (transmissions, entry) in (0..MAX_TRANSMISSIONS).zip(entries.iter().cycle()) {
            if packet.flags.open {
                packet.ack = transmissions;
            }
            self.send(packet, *entry).await?;
            if let Some(reply) = self.receive(packet).await? {
                return Ok(Some(reply));
            }
        }
        Ok(None)
    }

    async fn send(&self, packet: &TokenPacket, entry: SocketAddr) -> io::Result<()> {
        let datagram = self.codec.encode(packet);
        self.socket.send_to(&datagram, entry).await.map(|_| ())
    }

    /// Waits for the reply to `sent` and ignores replies to earlier packets.
    async fn receive(&self, sent: &TokenPacket) -> io::Result<Option<TokenPacket>> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(received) = timeout(RETRANSMIT_TIMEOUT, self.socket.recv(&mut buf)).await else {
                return Ok(None);
            };
            let reply = self.codec.decode(&buf[..received?]);
            let is_reply = |reply: &TokenPacket| {
                let is_of_flow = reply.to == sent.from && reply.from == sent.to;
                let is_next = reply.flags.reset || reply.flags.open == sent.flags.open;
                is_of_flow && is_next
            };
            if let Some(reply) = reply.filter(is_reply) {
                return Ok(Some(reply));
            }
        }
    }
}
