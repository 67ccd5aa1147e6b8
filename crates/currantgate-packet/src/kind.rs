//! What a packet means for the life of its flow.

/// What a packet means for the life of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// The first packet of a TCP flow: SYN without ACK.
    Open,
    /// A packet in the middle of a flow, or any UDP packet.
    Data,
    /// One side has no more to send: FIN.
    Finish,
    /// The flow ended at once: RST.
    Reset,
    /// An ICMP error about a packet of the flow.
    IcmpError,
}
