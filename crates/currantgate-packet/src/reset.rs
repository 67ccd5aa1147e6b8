//! Builds TCP resets.

use std::net::{IpAddr, SocketAddr};

use etherparse::{IpHeaders, PacketBuilder, PacketBuilderStep};

use crate::{BuildError, FlowKey, Packet, PacketKind};

/// Maximum number of hops of a packet that an entry builds.
pub(crate) const TTL: u8 = 64;

/// Builds the reset in response to `packet`, by RFC 9293 (3.10.7.1).
pub(crate) fn build_response_reset(packet: &Packet) -> Result<Vec<u8>, BuildError> {
    if packet.kind == PacketKind::Reset {
        return Err(BuildError::MustNotAnswer);
    }
    let FlowKey {
        caller, service, ..
    } = packet.key;
    if packet.ack == 0 {
        build(service, caller, 0, Some(packet.next_seq))
    } else {
        build(service, caller, packet.ack, None)
    }
}

/// Builds the reset that aborts a flow at its caller.
///
/// `seq` must be the sequence number that the caller expects next, and `ack` the
/// one that it sends next; its kernel ignores a reset with other numbers.
///
/// # Errors
///
/// Returns an error when the flow's two addresses are of different families.
pub fn build_caller_reset(key: &FlowKey, seq: u32, ack: u32) -> Result<Vec<u8>, BuildError> {
    build(key.service, key.caller, seq, Some(ack))
}

/// Builds the reset that aborts a flow at its upstream.
///
/// `seq` must be the sequence number that the upstream expects next, and `ack` the
/// one that it sends next; its kernel ignores a reset with other numbers.
///
/// # Errors
///
/// Returns an error when the flow's two addresses are of different families.
pub fn build_upstream_reset(key: &FlowKey, seq: u32, ack: u32) -> Result<Vec<u8>, BuildError> {
    build(key.caller, key.service, seq, Some(ack))
}

fn build(
    from: SocketAddr,
    to: SocketAddr,
    seq: u32,
    ack: Option<u32>,
) -> Result<Vec<u8>, BuildError> {
    let mut builder = ip_header(from.ip(), to.ip())?
        .tcp(from.port(), to.port(), seq, 0)
        .rst();
    if let Some(ack) = ack {
        builder = builder.ack(ack);
    }
    let mut buf = Vec::with_capacity(builder.size(0));
    builder
        .write(&mut buf, &[])
        .map_err(|_| BuildError::Encode)?;
    Ok(buf)
}

/// Returns a packet builder with an IP header between two addresses of the same
/// family.
pub(crate) fn ip_header(
    from: IpAddr,
    to: IpAddr,
) -> Result<PacketBuilderStep<IpHeaders>, BuildError> {
    match (from, to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Ok(PacketBuilder::ipv4(from.octets(), to.octets(), TTL))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Ok(PacketBuilder::ipv6(from.octets(), to.octets(), TTL))
        }
        _ => Err(BuildError::AddressFamilyMismatch),
    }
}
