//! Counters of callers.

use serde::Serialize;

/// Counters of one or more callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallerStats {
    /// Flows opened.
    pub opened: u64,
    /// Flows whose handshake completed.
    pub established: u64,
    /// Flows that were closed in order.
    pub finished: u64,
    /// Established flows that were reset or timed out.
    pub broken: u64,
    /// Established flows that timed out; also counted as broken.
    pub silent: u64,
    /// Flows that were reset during their handshake.
    pub refused: u64,
    /// Flows whose handshake timed out.
    pub unanswered: u64,
    /// Packets and responses received from another service than the requested one.
    pub misrouted: u64,
}

impl std::ops::AddAssign for CallerStats {
    fn add_assign(&mut self, other: Self) {
        self.opened += other.opened;
        self.established += other.established;
        self.finished += other.finished;
        self.broken += other.broken;
        self.silent += other.silent;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.misrouted += other.misrouted;
    }
}
