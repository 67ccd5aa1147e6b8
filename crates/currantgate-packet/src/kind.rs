//! The effect of a packet on the state of its flow.

/// The effect of a packet on the state of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// The first packet of a TCP flow: SYN without ACK.
    Open,
    /// Any other TCP packet, or any UDP packet.
    Data,
    /// The end of one direction of a TCP flow: FIN.
    Finish,
    /// The abort of a TCP flow: RST.
    Reset,
    /// An ICMP error about a packet of the flow.
    IcmpError,
}
