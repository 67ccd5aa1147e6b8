//! The reason why a packet is dropped without a reply.

use derive_more::Display;

/// The reason why a packet is dropped without a reply.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No service has the packet's destination address and protocol.
    #[display("unknown_service")]
    UnknownService,
    /// An answer's source address belongs to no upstream, or a packet is for an
    /// upstream that is not yet in this entry's view.
    #[display("unknown_upstream")]
    UnknownUpstream,
    /// An answer's source is not the service that its upstream announced.
    #[display("wrong_service")]
    WrongService,
    /// An answer came from an upstream that the flow doesn't belong to.
    #[display("wrong_upstream")]
    WrongUpstream,
    /// A packet has been forwarded too often without reaching an entry that can
    /// decide about it.
    #[display("forwarded_too_often")]
    ForwardedTooOften,
    /// A decision would be unsafe while the bucket moves; the sender is
    /// expected to retransmit the packet.
    #[display("deferred")]
    Deferred,
    /// A packet of a flow that no upstream has.
    #[display("no_flow")]
    NoFlow,
}
