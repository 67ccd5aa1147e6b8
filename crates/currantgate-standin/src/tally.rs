//! What callers saw.

/// What callers saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Flows whose first packet was sent.
    pub opened: u64,
    /// Flows that a handshake established.
    pub established: u64,
    /// Flows that ran to their end.
    pub finished: u64,
    /// Established flows that were reset or fell silent.
    pub broken: u64,
    /// Flows that were refused before they were established.
    pub refused: u64,
    /// Answers that came from another service than was asked.
    pub misrouted: u64,
}
