//! Builds the refusals that callers are sent.

use currantgate_config::Protocol;

use crate::reset::answer_with_reset;
use crate::unreachable::answer_with_unreachable;
use crate::{AnswerError, Packet, PacketKind};

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
/// Returns [`AnswerError::NeverAnswered`] for a reset or an ICMP error, so
/// that no two hosts answer each other for ever.
pub fn refuse(packet: &Packet, buf: &[u8], refusal: Refusal) -> Result<Vec<u8>, AnswerError> {
    match (packet.kind, packet.key.protocol) {
        (PacketKind::IcmpError, _) => Err(AnswerError::NeverAnswered),
        (_, Protocol::Tcp) => answer_with_reset(packet),
        (_, Protocol::Udp) => answer_with_unreachable(buf, refusal),
    }
}

/// Builds the reset that refuses a TCP packet; use [`refuse`], which refuses
/// UDP packets too.
///
/// # Errors
///
/// Returns an error for a packet that [`refuse`] does not answer, or of UDP.
pub fn build_refusal(packet: &Packet, _refusal: Refusal) -> Result<Vec<u8>, AnswerError> {
    match (packet.kind, packet.key.protocol) {
        (PacketKind::IcmpError, _) => Err(AnswerError::NeverAnswered),
        (_, Protocol::Tcp) => answer_with_reset(packet),
        (_, Protocol::Udp) => Err(AnswerError::Build),
    }
}
