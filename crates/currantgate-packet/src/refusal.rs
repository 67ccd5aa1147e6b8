//! Builds the refusals that callers are sent.

use currantgate_config::Protocol;

use crate::reset::{answer_with_reset, ip_header};
use crate::unreachable::answer_with_unreachable;
use crate::{BuildError, FlowKey, Packet, PacketKind};

/// What a caller is told about a flow that can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The flow reached no upstream: nothing of it ran.
    NotRun,
    /// The flow's upstream is gone; what ran of it is unknown.
    Gone,
}

/// Builds the IP packet that tells the caller about `refusal`.
///
/// `packet` was read from `buf`. A TCP caller is sent a reset. A UDP caller is
/// sent an ICMP error that quotes its packet: administratively prohibited for
/// [`Refusal::NotRun`] and host unreachable for [`Refusal::Gone`].
///
/// # Errors
///
/// Returns [`BuildError::MustNotAnswer`] for a reset or an ICMP error, so
/// that no two hosts answer each other for ever.
pub fn build_refusal(packet: &Packet, buf: &[u8], refusal: Refusal) -> Result<Vec<u8>, BuildError> {
    match (packet.kind, packet.key.protocol) {
        (PacketKind::IcmpError, _) => Err(BuildError::MustNotAnswer),
        (_, Protocol::Tcp) => answer_with_reset(packet),
        (_, Protocol::Udp) => answer_with_unreachable(buf, refusal),
    }
}

/// Builds the IP packet that tells the caller about `refusal` when the bytes of
/// `packet` are no longer at hand.
///
/// It differs from what [`build_refusal`] builds in that an ICMP error quotes headers
/// made anew from the flow's key, which is all that a caller's kernel looks at.
///
/// # Errors
///
/// Returns [`BuildError::MustNotAnswer`] for a reset or an ICMP error, so
/// that no two hosts answer each other for ever.
pub fn build_refusal_without_payload(
    packet: &Packet,
    refusal: Refusal,
) -> Result<Vec<u8>, BuildError> {
    match packet.key.protocol {
        Protocol::Tcp => build_refusal(packet, &[], refusal),
        Protocol::Udp => build_refusal(packet, &udp_headers(&packet.key)?, refusal),
    }
}

/// Returns an empty UDP packet from the caller.
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
