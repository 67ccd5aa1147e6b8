//! Why a packet is dropped without a word to its sender.

use derive_more::Display;

/// Why a packet is dropped without a word to its sender.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No service has the packet's destination address and protocol.
    #[display("unknown_service")]
    UnknownService,
    /// An answer came from an address that holds no upstream, or a packet is
    /// for an upstream that this entry has not heard of yet.
    #[display("unknown_upstream")]
    UnknownUpstream,
    /// An answer's source is not the service that its upstream announced.
    #[display("wrong_service")]
    WrongService,
    /// An answer came from another upstream than the flow belongs to.
    #[display("wrong_upstream")]
    WrongUpstream,
    /// A packet was forwarded to an entry that can't decide for it either.
    #[display("forwarded_too_often")]
    ForwardedTooOften,
    /// A decision would be unsafe while a bucket changes hands; the sender
    /// will send the packet again.
    #[display("deferred")]
    Deferred,
    /// A packet about a flow that no upstream has.
    #[display("no_flow")]
    NoFlow,
}
