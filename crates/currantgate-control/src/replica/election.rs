//! Elections: a pre-vote, which changes no state of the voters, then the vote.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use rand::RngExt as _;

use super::Replica;
use super::role::Role;
use crate::{HardState, Index, MIN_ELECTION_TIMEOUT, Message, Term, VoterId};

/// The term and index of a log's last entry, in the order in which elections
/// compare them.
pub(super) type LastEntry = (Term, Index);

impl Replica {
    pub(super) fn last_entry(&self) -> LastEntry {
        (self.log.last_term(), self.log.last_index())
    }

    /// Sets the next election to a random time, one to two minimum election
    /// timeouts after `now`.
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let spread = MIN_ELECTION_TIMEOUT.as_millis() as u64;
        let extra = Duration::from_millis(self.rng.random_range(0..spread));
        self.election_deadline = now + MIN_ELECTION_TIMEOUT + extra;
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_deadline(now);
        if !self.may_lead() {
            return;
        }
        self.role = Role::PreCandidate {
            granted: IndexSet::new(),
        };
        let (last_term, last_index) = self.last_entry();
        self.send_to_voters(&Message::PreVote {
            term: self.hard_state.term + 1,
            last_index,
            last_term,
        });
        self.receive_pre_vote_reply(now, self.id(), self.hard_state.term + 1, true);
    }

    /// Starts an election for a leader that has resigned and asked this replica to succeed
    /// it. Messages of other leaders or terms are late.
    pub(super) fn receive_start_election(&mut self, now: Instant, from: VoterId, term: Term) {
        let follows = matches!(self.role, Role::Follower { leader } if leader == Some(from));
        if follows && term == self.hard_state.term && self.may_lead() {
            self.start_election(now, true);
        }
    }

    /// Starts an election; `is_transfer` tells that the leader of the current term has
    /// resigned.
    fn start_election(&mut self, now: Instant, is_transfer: bool) {
        if now < self.no_votes_until && !is_transfer {
            return;
        }
        let hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id()),
            ..self.hard_state
        };
        self.set_hard_state(hard_state);
        self.role = Role::Candidate {
            granted: IndexSet::new(),
        };
        self.reset_election_deadline(now);
        let (last_term, last_index) = self.last_entry();
        let term = hard_state.term;
        self.send_to_voters(&if is_transfer {
            Message::TransferVote {
                term,
                last_index,
                last_term,
            }
        } else {
            Message::Vote {
                term,
                last_index,
                last_term,
            }
        });
        self.receive_vote_reply(now, self.id(), hard_state.term, true);
    }

    pub(super) fn send_to_voters(&mut self, message: &Message) {
        let own = self.id();
        let others: Vec<_> = self.log.members().1.ids().filter(|id| *id != own).collect();
        for to in others {
            self.send_after_sync(to, message.clone());
        }
    }

    pub(super) fn receive_pre_vote(
        &mut self,
        now: Instant,
        from: VoterId,
        term: Term,
        last: LastEntry,
    ) {
        let granted = self.may_vote()
            && now >= self.no_votes_until
            && !self.is_leader()
            && term > self.hard_state.term
            && last >= self.last_entry();
        if granted && self.yields_to(from, term, last) {
            self.become_follower(now, None);
            self.reset_election_deadline(now);
        }
        let term = if granted { term } else { self.hard_state.term };
        self.send_after_sync(from, Message::PreVoteReply { term, granted });
    }

    /// Returns whether this replica gives up its own pre-vote for that of `from`. Two replicas
    /// whose pre-votes cross, each granted by the other, would both become candidates and
    /// split the votes, so that the one with the shorter log or the lower id gives up.
    fn yields_to(&self, from: VoterId, term: Term, last: LastEntry) -> bool {
        let is_crossing = matches!(self.role, Role::PreCandidate { .. });
        is_crossing
            && term == self.hard_state.term + 1
            && (last, from) > (self.last_entry(), self.id())
    }

    pub(super) fn receive_pre_vote_reply(
        &mut self,
        now: Instant,
        from: VoterId,
        term: Term,
        granted: bool,
    ) {
        if !granted {
            self.observe_term(now, term);
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if term == self.hard_state.term + 1 {
            granted.insert(from);
        }
        if self.has_quorum_of_votes() {
            self.start_election(now, false);
        }
    }

    pub(super) fn receive_vote(
        &mut self,
        now: Instant,
        from: VoterId,
        term: Term,
        last: LastEntry,
    ) {
        if !self.may_vote() {
            return;
        }
        self.observe_term(now, term);
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && can_vote && last >= self.last_entry();
        if granted {
            self.set_hard_state(HardState {
                vote: Some(from),
                ..self.hard_state
            });
            self.reset_election_deadline(now);
        }
        let term = self.hard_state.term;
        self.send_after_sync(from, Message::VoteReply { term, granted });
    }

    pub(super) fn receive_vote_reply(
        &mut self,
        now: Instant,
        from: VoterId,
        term: Term,
        granted: bool,
    ) {
        self.observe_term(now, term);
        let Role::Candidate { granted: votes } = &mut self.role else {
            return;
        };
        if granted && term == self.hard_state.term {
            votes.insert(from);
        }
        if self.has_quorum_of_votes() {
            self.become_leader(now);
        }
    }

    fn has_quorum_of_votes(&self) -> bool {
        let (Role::PreCandidate { granted } | Role::Candidate { granted }) = &self.role else {
            return false;
        };
        let members = self.log.members().1;
        members.ids().filter(|id| granted.contains(id)).count() >= members.quorum()
    }

    /// Adopts `term` and becomes a follower without a leader if `term` is newer
    /// than this replica's.
    pub(super) fn observe_term(&mut self, now: Instant, term: Term) {
        if term <= self.hard_state.term {
            return;
        }
        self.set_hard_state(HardState {
            term,
            vote: None,
            ..self.hard_state
        });
        self.become_follower(now, None);
    }

    /// Becomes a follower. A former leader answers its open requests.
    pub(super) fn become_follower(&mut self, now: Instant, leader: Option<VoterId>) {
        let before = std::mem::replace(&mut self.role, Role::Follower { leader });
        if let Role::Leader(before) = before {
            self.answer_open_requests(*before, leader);
            self.reset_election_deadline(now);
        }
    }

    /// Returns whether the replica may start an election: it is a voter, and it is not about
    /// to stop.
    fn may_lead(&self) -> bool {
        let is_voter = self.log.members().1.contains(self.id());
        is_voter && self.may_vote() && !self.departures.is_own()
    }

    /// Returns whether the replica may vote and lead. With a new disk it may not
    /// before it has received a snapshot as a learner.
    fn may_vote(&self) -> bool {
        self.hard_state.joined
    }
}
