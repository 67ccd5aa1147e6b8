//! Packets, a client and an endpoint as PROTOCOL.md describes them, in the form `echo`.
//! Uses only the standard library.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SYN: u8 = 2;
pub const ACK: u8 = 128;
pub const FIN: u8 = 16;
pub const RST: u8 = 1;

#[derive(Clone, Debug)]
pub struct Packet {
    pub echo: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 36];
        bytes[..4].copy_from_slice(&self.echo.to_be_bytes());
        bytes[8..10].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[10] = self.flags;
        bytes[16..20].copy_from_slice(&self.seq.to_be_bytes());
        bytes[20..24].copy_from_slice(&self.ack.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.src.ip().octets());
        bytes[28..32].copy_from_slice(&self.dst.ip().octets());
        bytes[32..34].copy_from_slice(&self.dst.port().to_be_bytes());
        bytes[34..36].copy_from_slice(&self.src.port().to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (head, data) = bytes.split_at_checked(36)?;
        let u32_at = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(head[at..at + 2].try_into().unwrap());
        (usize::from(u16_at(8)) == data.len()).then(|| Self {
            echo: u32_at(0),
            flags: head[10],
            seq: u32_at(16),
            ack: u32_at(20),
            src: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(24)), u16_at(34)),
            dst: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(28)), u16_at(32)),
            data: data.to_vec(),
        })
    }
}

/// What became of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered(String),
    Reset,
    NoAnswer,
}

/// A client with one socket, which sends each request on a flow of its own.
pub struct Client {
    socket: UdpSocket,
    address: Ipv4Addr,
    next_port: u16,
}

impl Client {
    pub fn bind(address: Ipv4Addr, datagram_port: u16) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((address, datagram_port))?;
        Ok(Self {
            socket,
            address,
            next_port: 40_000,
        })
    }

    /// Opens a flow to `service` by way of `entry` and sends a request on it.
    pub fn request(&mut self, entry: SocketAddr, service: SocketAddrV4, request: &str) -> Outcome {
        self.next_port += 1;
        let src = SocketAddrV4::new(self.address, self.next_port);
        let seq = 0x1122_0000 + u32::from(self.next_port);
        let packet = |echo, flags, seq, ack, data: &[u8]| Packet {
            echo,
            flags,
            seq,
            ack,
            src,
            dst: service,
            data: data.to_vec(),
        };
        let started = Instant::now();
        let mut copies = 0;
        let opened = loop {
            let age = started.elapsed();
            let due = [0, 200, 600].map(Duration::from_millis);
            if copies < due.len() && age >= due[copies] {
                let syn = packet(0, SYN, seq, copies as u32, b"");
                let _ = self.socket.send_to(&syn.encode(), entry);
                copies += 1;
            }
            if age >= Duration::from_millis(1_400) {
                return Outcome::NoAnswer;
            }
            match self.receive(src, Duration::from_millis(10)) {
                Some(p) if p.flags & RST != 0 => return Outcome::Reset,
                Some(p) if p.flags == SYN | ACK && p.ack == seq + 1 => break p,
                _ => {}
            }
        };
        let data = packet(opened.echo, ACK, seq + 1, opened.seq + 1, request.as_bytes());
        let mut sent = 0;
        let since = Instant::now();
        while since.elapsed() < Duration::from_millis(1_500) {
            let due = Duration::from_millis([0, 200, 600, 1_400][sent.min(3)]);
            if sent < 4 && since.elapsed() >= due {
                let _ = self.socket.send_to(&data.encode(), entry);
                sent += 1;
            }
            match self.receive(src, Duration::from_millis(10)) {
                Some(p) if p.flags & RST != 0 => return Outcome::Reset,
                Some(p) if !p.data.is_empty() => {
                    let next = seq + 1 + request.len() as u32;
                    let fin = packet(p.echo, FIN | ACK, next, p.seq + p.data.len() as u32 + 1, b"");
                    let _ = self.socket.send_to(&fin.encode(), entry);
                    return Outcome::Answered(String::from_utf8_lossy(&p.data).into_owned());
                }
                _ => {}
            }
        }
        Outcome::NoAnswer
    }

    fn receive(&self, own: SocketAddrV4, limit: Duration) -> Option<Packet> {
        self.socket.set_read_timeout(Some(limit)).ok()?;
        let mut buf = [0; 2_048];
        let (len, _) = self.socket.recv_from(&mut buf).ok()?;
        Packet::decode(&buf[..len]).filter(|packet| packet.dst == own)
    }
}

/// What an endpoint has run.
pub type Runs = Arc<Mutex<Vec<String>>>;

/// Starts an endpoint that answers each request at once; returns the requests that it runs.
pub fn start_endpoint(
    name: &'static str,
    identity: u64,
    address: SocketAddrV4,
    datagram_port: u16,
) -> std::io::Result<Runs> {
    let socket = UdpSocket::bind(address)?;
    let runs = Runs::default();
    let seen = Arc::clone(&runs);
    thread::spawn(move || {
        let mut buf = [0; 2_048];
        let mut held: Vec<(SocketAddrV4, SocketAddrV4, bool)> = Vec::new();
        while let Ok((len, _)) = socket.recv_from(&mut buf) {
            let Some((prefix, bytes)) = buf[..len].split_at_checked(8) else {
                continue;
            };
            let to = u64::from_be_bytes(prefix.try_into().unwrap());
            let Some(packet) = Packet::decode(bytes).filter(|_| to == 0 || to == identity) else {
                continue;
            };
            let reply = |flags, seq, ack, data: &[u8]| {
                let reply = Packet {
                    echo: packet.echo,
                    flags,
                    seq,
                    ack,
                    src: packet.dst,
                    dst: packet.src,
                    data: data.to_vec(),
                };
                let to = SocketAddrV4::new(*packet.src.ip(), datagram_port);
                let _ = socket.send_to(&reply.encode(), to);
            };
            let own_seq = 0x5000_0000 ^ (identity as u32) << 8;
            let flow = held.iter_mut().find(|(c, s, _)| (*c, *s) == (packet.src, packet.dst));
            match (packet.flags & SYN != 0, flow) {
                (true, flow) => {
                    if flow.is_none() {
                        held.push((packet.src, packet.dst, false));
                    }
                    reply(SYN | ACK, own_seq, packet.seq + 1, b"");
                }
                (false, None) => reply(RST, packet.ack, 0, b""),
                (false, Some((_, _, has_run))) if !packet.data.is_empty() => {
                    let request = String::from_utf8_lossy(&packet.data).into_owned();
                    if !std::mem::replace(has_run, true) {
                        seen.lock().unwrap().push(request.clone());
                    }
                    let answer = format!("{request} answered by {name}");
                    let ack = packet.seq + packet.data.len() as u32;
                    reply(ACK | FIN, own_seq + 1, ack, answer.as_bytes());
                }
                (false, Some(_)) => {}
            }
        }
    });
    Ok(runs)
}
