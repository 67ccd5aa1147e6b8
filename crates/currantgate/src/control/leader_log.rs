//! Logging of changes of the leader, the term and the voters.

use currantgate_control::{Status, Term, VoterId};

/// The leader, term and voters logged last.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct LeaderLog {
    term: Term,
    leader: Option<VoterId>,
    voters: Vec<VoterId>,
}

impl LeaderLog {
    /// Logs the leader, term and voters if any of them changed.
    pub(super) fn log_changes(&mut self, status: &Status) {
        let is_unchanged = self.term == status.term
            && self.leader == status.leader
            && self.voters.iter().copied().eq(status.members.ids());
        if is_unchanged {
            return;
        }
        *self = Self {
            term: status.term,
            leader: status.leader,
            voters: status.members.ids().collect(),
        };
        log::info!(
            event = "leader",
            term = self.term,
            leader:? = self.leader,
            voters:? = self.voters;
            "leader, term or voters changed"
        );
    }
}
