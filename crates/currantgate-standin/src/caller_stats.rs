//! What callers saw.

use serde::Serialize;

/// What callers saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallerStats {
    /// Flows whose first packet was sent.
    pub opened: u64,
    /// Flows that a handshake established.
    pub established: u64,
    /// Flows that ran to their end.
    pub finished: u64,
    /// Established flows that were reset or fell silent.
    pub broken: u64,
    /// Those of the broken flows that fell silent.
    pub silent: u64,
    /// Flows that were refused before they were established.
    pub refused: u64,
    /// Flows whose handshake was never answered.
    pub unanswered: u64,
    /// Answers that came from another service than was asked.
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
