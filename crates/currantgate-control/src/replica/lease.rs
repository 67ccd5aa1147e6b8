//! The leader's lease: the time during which no other replica can be elected.

use std::time::Instant;

use super::Replica;
use super::role::Role;
use crate::{Freshness, LEASE_DURATION, LocalRead, Revision, RevisionId, Term};

impl Replica {
    /// Returns the instant at which the leader's lease ends, or `None` if the
    /// replica does not lead or has no lease yet.
    ///
    /// The lease starts when the newest message that a quorum has acknowledged
    /// was sent: each voter of the quorum grants no vote for
    /// [`crate::MIN_ELECTION_TIMEOUT`] after it received that message.
    pub fn lease_deadline(&self, now: Instant) -> Option<Instant> {
        self.quorum_ack_send_time(now)
            .map(|sent| sent + LEASE_DURATION)
    }

    /// Returns the send time of the newest message that a quorum has
    /// acknowledged, or `None` if the replica does not lead or no message has
    /// been acknowledged by a quorum.
    pub(super) fn quorum_ack_send_time(&self, now: Instant) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let own = self.id();
        let sent = self.log.members().1.reached_by_quorum(|id| {
            if id == own {
                return Some(now);
            }
            leader.progress.get(&id).and_then(|p| p.acked_sent)
        });
        sent.flatten()
    }

    /// Returns whether the replica holds the lease at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_deadline(now).is_some_and(|end| now < end)
    }

    /// Returns the term in which the replica holds the lease at `now`, or `None` if it does
    /// not hold the lease.
    pub fn lease_term(&self, now: Instant) -> Option<Term> {
        self.has_lease(now).then_some(self.hard_state.term)
    }

    /// Returns whether the accepted change of this replica is the latest one.
    pub fn freshness(&self, now: Instant) -> Freshness {
        let Role::Leader(leader) = &self.role else {
            return Freshness::Stale;
        };
        if self.commit >= leader.first_index && self.has_lease(now) {
            Freshness::Present
        } else {
            Freshness::Stale
        }
    }

    /// Returns whether the replica is in contact with a quorum: it holds the
    /// lease, or has received a message from the leader within
    /// [`crate::MIN_ELECTION_TIMEOUT`].
    pub fn is_in_quorum(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(_) => self.has_lease(now),
            Role::Follower { leader } => leader.is_some() && now < self.no_votes_until,
            Role::PreCandidate { .. } | Role::Candidate { .. } => false,
        }
    }

    /// Returns the id of a revision, or `None` if it is neither 0 nor in the
    /// history. The digest of a revision never changes, so the id is never stale.
    pub fn find_revision(&self, revision: Revision) -> Option<RevisionId> {
        self.state.find_revision(revision)
    }

    /// Returns the accepted change of this replica, without contacting others.
    pub fn read(&self, now: Instant) -> LocalRead {
        LocalRead {
            freshness: self.freshness(now),
            change: self.state.current().cloned(),
        }
    }
}
