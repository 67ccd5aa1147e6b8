//! The leader's lease: until when no other replica can be leader.

use std::time::Instant;

use super::Replica;
use super::role::Role;
use crate::{Freshness, LEASE_DURATION, LocalRead, Revision, RevisionId};

impl Replica {
    /// Returns the instant at which the leader's lease ends; nothing when
    /// the replica does not lead or has no lease yet.
    ///
    /// A quorum promised, after the newest message that it acknowledged was
    /// sent, to vote for no one else; see [`crate::MIN_ELECTION_TIMEOUT`].
    pub fn lease_deadline(&self, now: Instant) -> Option<Instant> {
        self.quorum_acknowledged(now)
            .map(|sent| sent + LEASE_DURATION)
    }

    /// Returns when the newest message was sent that a quorum has answered;
    /// nothing when the replica does not lead or a quorum never answered.
    pub(super) fn quorum_acknowledged(&self, now: Instant) -> Option<Instant> {
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

    /// Tells whether the replica holds the lease at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_deadline(now).is_some_and(|end| now < end)
    }

    /// Tells whether what the replica knows as accepted is the present.
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

    /// Tells whether the replica was in contact with a quorum a short time ago:
    /// it leads with a lease, or heard from a leader.
    pub fn is_in_quorum(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(_) => self.has_lease(now),
            Role::Follower { leader } => leader.is_some() && now < self.no_votes_until,
            Role::PreCandidate { .. } | Role::Candidate { .. } => false,
        }
    }

    /// Returns revision and digest of a revision of the known history; a
    /// revision never gets another digest, so the answer is never stale.
    pub fn find_revision(&self, revision: Revision) -> Option<RevisionId> {
        self.state.find_revision(revision)
    }

    /// Reads the accepted site file.
    pub fn read(&self, now: Instant) -> LocalRead {
        LocalRead {
            freshness: self.freshness(now),
            change: self.state.current().cloned(),
        }
    }
}
