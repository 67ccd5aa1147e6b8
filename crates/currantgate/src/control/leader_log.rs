//! What was last logged of who leads.

use currantgate_control::{Status, Term, VoterId};

/// What was last logged of the leader and the voters.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct LeaderLog {
    term: Term,
    leader: Option<VoterId>,
    voters: Vec<VoterId>,
}

impl LeaderLog {
    /// Logs what is new of who leads and who votes.
    pub(super) fn tell(&mut self, status: &Status) {
        let is_same = self.term == status.term
            && self.leader == status.leader
            && self.voters.iter().copied().eq(status.members.ids());
        if is_same {
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
            "leader, term or voters are new"
        );
    }
}
