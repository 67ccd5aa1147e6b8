//! A caller that opens token flows.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::token_codec::{TokenCodec, TokenFlags, TokenPacket};

/// How long a caller waits for an answer before it repeats a packet.
const REPEAT_AFTER: Duration = Duration::from_millis(200);

/// How often a packet is sent before the caller gives up.
const TRIES: u32 = 8;

/// The largest datagram of a platform.
const MAX_DATAGRAM: usize = 2_048;

/// What a request says unless its sender chooses the bytes.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// The answer came.
    Answered,
    /// The flow was reset before it opened, so that nothing ran.
    Refused,
    /// The flow was reset after it had opened.
    Broken,
    /// No answer came.
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
    /// Takes packets at `address`.
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

    /// Sends one request to `service` by `entries`, in turn for each packet.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub async fn request(
        &mut self,
        service: SocketAddrV4,
        entries: &[SocketAddr],
    ) -> io::Result<TokenOutcome> {
        self.send_request(service, entries, REQUEST).await
    }

    /// Sends one request with the given bytes.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub async fn send_request(
        &mut self,
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
        packet.token = opened.token;
        packet.ack = opened.seq;
        packet.flags = TokenFlags {
            ack: true,
            ..TokenFlags::default()
        };
        packet.data = bytes.to_vec();
        let answered = self.exchange(&mut packet, entries).await?;
        packet.data.clear();
        packet.flags.end = true;
        self.send(&packet, entries[0]).await?;
        Ok(match answered {
            Some(answer) if answer.flags.reset => TokenOutcome::Broken,
            Some(_) => TokenOutcome::Answered,
            None => TokenOutcome::TimedOut,
        })
    }

    /// Sends a packet until it is answered; a first packet counts its copies.
    async fn exchange(
        &self,
        packet: &mut TokenPacket,
        entries: &[SocketAddr],
    ) -> io::Result<Option<TokenPacket>> {
        for (copies, entry) in (0..TRIES).zip(entries.iter().cycle()) {
            if packet.flags.open {
                packet.ack = copies;
            }
            self.send(packet, *entry).await?;
            if let Some(answer) = self.receive(packet).await? {
                return Ok(Some(answer));
            }
        }
        Ok(None)
    }

    async fn send(&self, packet: &TokenPacket, entry: SocketAddr) -> io::Result<()> {
        let datagram = self.codec.encode(packet);
        self.socket.send_to(&datagram, entry).await.map(|_| ())
    }

    /// Waits for an answer to `asked`; those to earlier packets are left out.
    async fn receive(&self, asked: &TokenPacket) -> io::Result<Option<TokenPacket>> {
        let mut buf = [0; MAX_DATAGRAM];
        loop {
            let Ok(received) = timeout(REPEAT_AFTER, self.socket.recv(&mut buf)).await else {
                return Ok(None);
            };
            let answer = self.codec.decode(&buf[..received?]);
            let fits = |answer: &TokenPacket| {
                let is_of_flow = answer.to == asked.from && answer.from == asked.to;
                let is_next = answer.flags.reset || answer.flags.open == asked.flags.open;
                is_of_flow && is_next
            };
            if let Some(answer) = answer.filter(fits) {
                return Ok(Some(answer));
            }
        }
    }
}
