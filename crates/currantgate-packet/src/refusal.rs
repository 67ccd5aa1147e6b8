//! Builds the refusals that are sent to callers.

use currantgate_config::Protocol;

use crate::reset::{build_response_reset, ip_header};
use crate::unreachable::build_unreachable;
use crate::{BuildError, FlowKey, Packet, PacketKind};

/// The reason for a refusal, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The flow reached no upstream, so nothing was run.
    NotRun,
    /// The flow's upstream is gone; it is unknown what was run.
    Gone,
}

/// Builds the IP packet that refuses the flow of `packet`, parsed from `buf`.
///
/// The result is a reset for TCP. For UDP, it is an ICMP error that quotes the
/// caller's packet: administratively prohibited for [`Refusal::NotRun`] and host
/// unreachable for [`Refusal::Gone`].
///
/// # Errors
///
/// Returns [`BuildError::MustNotAnswer`] for a reset or an ICMP error, which
/// prevents two hosts from answering each other endlessly.
pub fn build_refusal(packet: &Packet, buf: &[u8], refusal: Refusal) -> Result<Vec<u8>, BuildError> {
    match (packet.kind, packet.key.protocol) {
        (PacketKind::IcmpError, _) => Err(BuildError::MustNotAnswer),
        (_, Protocol::Tcp) => build_response_reset(packet),
        (_, Protocol::Udp) => build_unreachable(buf, refusal),
    }
}

/// Builds the IP packet that refuses the flow of `packet` without its bytes.
///
/// Unlike in [`build_refusal`], an ICMP error quotes headers that are built from
/// the flow's key, which is all that a caller's kernel evaluates.
///
/// # Errors
///
/// Returns [`BuildError::MustNotAnswer`] for a reset or an ICMP error, which
/// prevents two hosts from answering each other endlessly.
pub fn build_refusal_without_payload(
    packet: &Packet,
    refusal: Refusal,
) -> Result<Vec<u8>, BuildError> {
    match packet.key.protocol {
        Protocol::Tcp => build_refusal(packet, &[], refusal),
        Protocol::Udp => build_refusal(packet, &udp_headers(&packet.key)?, refusal),
    }
}

/// Builds an empty UDP packet from the caller to the service.
fn udp_headers(key: &FlowKey) -> Result<Vec<u8>, BuildError> {
    let FlowKey {
        caller, service, ..
    } = key;
    let builder = ip_header(caller.ip(), service.ip())?.udp(caller.port(), service.port());
    let mut buf = Vec::with_capacity(builder.size(0));
    builder
        .write(&mut buf, &[])
        .map_err(|_| BuildError::Encode)?;
    Ok(buf)
}
