//! Builds the refusals that callers are sent.

use std::net::IpAddr;

use currantgate_config::Protocol;
use etherparse::PacketBuilder;

use crate::{FlowKey, Packet, PacketError};

/// What a caller is told about a flow that can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The flow reached no upstream: nothing of it ran.
    NotRun,
    /// The flow's upstream is gone; what ran of it is unknown.
    Gone,
}

/// Hops that a refusal may travel.
const TTL: u8 = 64;

/// Builds the IP packet that tells the caller of `packet` about `refusal`.
///
/// # Errors
///
/// Returns an error when the flow's two addresses are of different families.
pub fn build_refusal(packet: &Packet, _refusal: Refusal) -> Result<Vec<u8>, PacketError> {
    match packet.key.protocol {
        Protocol::Tcp => build_reset(packet),
        Protocol::Udp => Err(PacketError::Protocol(17)),
    }
}

fn build_reset(packet: &Packet) -> Result<Vec<u8>, PacketError> {
    let FlowKey {
        caller, service, ..
    } = packet.key;
    let builder = match (service.ip(), caller.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), TTL),
        (IpAddr::V6(from), IpAddr::V6(to)) => PacketBuilder::ipv6(from.octets(), to.octets(), TTL),
        _ => return Err(PacketError::Ip),
    };
    let builder = builder
        .tcp(service.port(), caller.port(), packet.ack, 0)
        .rst()
        .ack(packet.next_seq);
    let mut buf = Vec::with_capacity(builder.size(0));
    builder
        .write(&mut buf, &[])
        .map_err(|_| PacketError::Transport)?;
    Ok(buf)
}
