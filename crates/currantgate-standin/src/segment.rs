//! TCP segments in IPv4 packets.

use std::net::SocketAddrV4;

use etherparse::{NetSlice, PacketBuilder, SlicedPacket, TransportSlice};

/// IP time to live, in hops.
const TTL: u8 = 64;

/// Advertised receive window, in bytes.
const WINDOW: u16 = 65_000;

/// A TCP segment with its source and destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) from: SocketAddrV4,
    pub(crate) to: SocketAddrV4,
    pub(crate) seq: u32,
    pub(crate) ack: u32,
    pub(crate) flags: Flags,
    pub(crate) payload: Vec<u8>,
}

/// The TCP flags that the stand-ins use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Flags {
    pub(crate) syn: bool,
    pub(crate) ack: bool,
    pub(crate) fin: bool,
    pub(crate) rst: bool,
}

impl Flags {
    const NONE: Self = Self {
        syn: false,
        ack: false,
        fin: false,
        rst: false,
    };
    pub(crate) const SYN: Self = Self {
        syn: true,
        ..Self::NONE
    };
    pub(crate) const ACK: Self = Self {
        ack: true,
        ..Self::NONE
    };
    pub(crate) const SYN_ACK: Self = Self {
        syn: true,
        ..Self::ACK
    };
    pub(crate) const FIN_ACK: Self = Self {
        fin: true,
        ..Self::ACK
    };
    pub(crate) const RST: Self = Self {
        rst: true,
        ..Self::NONE
    };
}

impl Segment {
    /// Returns the sequence number that follows the segment; SYN and FIN count as one.
    pub(crate) fn next_seq(&self) -> u32 {
        let len = u32::try_from(self.payload.len()).unwrap_or(u32::MAX);
        self.seq
            .wrapping_add(len)
            .wrapping_add(u32::from(self.flags.syn))
            .wrapping_add(u32::from(self.flags.fin))
    }

    /// Returns the reset that a kernel sends in reply to a segment of an unknown flow.
    pub(crate) fn reset(&self) -> Self {
        Self {
            from: self.to,
            to: self.from,
            seq: self.ack,
            ack: 0,
            flags: Flags::RST,
            payload: Vec::new(),
        }
    }

    /// Encodes the segment as an IPv4 packet.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut builder = PacketBuilder::ipv4(self.from.ip().octets(), self.to.ip().octets(), TTL)
            .tcp(self.from.port(), self.to.port(), self.seq, WINDOW);
        if self.flags.syn {
            builder = builder.syn();
        }
        if self.flags.ack {
            builder = builder.ack(self.ack);
        }
        if self.flags.fin {
            builder = builder.fin();
        }
        if self.flags.rst {
            builder = builder.rst();
        }
        let mut buf = Vec::with_capacity(builder.size(self.payload.len()));
        builder
            .write(&mut buf, &self.payload)
            .expect("writing to a vector doesn't fail");
        buf
    }

    /// Decodes an IP packet; returns `None` unless it is valid IPv4 with TCP.
    pub(crate) fn decode(buf: &[u8]) -> Option<Self> {
        let sliced = SlicedPacket::from_ip(buf).ok()?;
        let Some(NetSlice::Ipv4(ip)) = &sliced.net else {
            return None;
        };
        let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
            return None;
        };
        let header = ip.header();
        Some(Self {
            from: SocketAddrV4::new(header.source_addr(), tcp.source_port()),
            to: SocketAddrV4::new(header.destination_addr(), tcp.destination_port()),
            seq: tcp.sequence_number(),
            ack: tcp.acknowledgment_number(),
            flags: Flags {
                syn: tcp.syn(),
                ack: tcp.ack(),
                fin: tcp.fin(),
                rst: tcp.rst(),
            },
            payload: tcp.payload().to_vec(),
        })
    }
}
