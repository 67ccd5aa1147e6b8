//! Label values of packet errors in metrics.

use currantgate_packet::PacketError;

/// Returns the value of the `reason` label for a packet error.
pub(crate) fn packet_error_reason(e: PacketError) -> &'static str {
    match e {
        PacketError::Ip => "bad_ip_header",
        PacketError::Transport => "bad_transport_header",
        PacketError::Protocol(_) => "unknown_protocol",
        PacketError::Fragment => "fragment",
        PacketError::Icmp => "icmp",
    }
}
