//! Planned stops: a voter that stops passes on the lead, and its vote is handed over while
//! it still runs. See `docs/design/control.md`.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Replica;
use super::role::Role;
use crate::progress::Progress;
use crate::{Message, Term, VoterId};

/// The time for which an announcement counts: several of the intervals at which a VM that
/// stops repeats it, and less than a restart of its process takes.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(500);

/// The state of this replica's own stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OwnStop {
    /// The replica keeps running.
    #[default]
    Running,
    /// The replica stops, and may still be a voter.
    Announced,
    /// The replica stops and is no voter.
    Released,
}

/// The control VMs that stop.
#[derive(Debug, Default)]
pub(super) struct Departures {
    own: OwnStop,
    /// The other VMs, each with the instant at which its announcement expires.
    others: IndexMap<VoterId, Instant>,
}

impl Departures {
    /// Returns whether this replica stops.
    pub(super) fn is_own(&self) -> bool {
        self.own != OwnStop::Running
    }
}

impl Replica {
    /// Announces to the voters and the leader that this replica stops, so that the leader hands
    /// its vote over. To be repeated until [`Replica::is_released`], as announcements expire.
    /// From now on, the replica starts no election.
    pub fn announce_departure(&mut self) {
        if self.departures.own == OwnStop::Running {
            self.departures.own = OwnStop::Announced;
        }
        let term = self.hard_state.term;
        self.send_to_voters(&Message::Departure { term });
        let is_voter = |id: &VoterId| self.log.members().1.contains(*id);
        if let Some(leader) = self
            .leader_id()
            .filter(|id| *id != self.id() && !is_voter(id))
        {
            self.send_after_sync(leader, Message::Departure { term });
        }
    }

    /// Returns whether the leader has confirmed that this replica, which stops, is no voter.
    pub fn is_released(&self) -> bool {
        self.departures.own == OwnStop::Released
    }

    /// Returns whether another control VM has announced that it stops.
    pub fn is_departing(&self, now: Instant, id: VoterId) -> bool {
        let expiry = self.departures.others.get(&id);
        expiry.is_some_and(|expiry| now < *expiry)
    }

    pub(super) fn receive_departure(&mut self, now: Instant, from: VoterId) {
        let departures = &mut self.departures.others;
        departures.retain(|_, expiry| now < *expiry);
        departures.insert(from, now + ANNOUNCEMENT_LIFETIME);
        let (members_index, members) = self.log.members();
        // A removal that is not committed yet may still be overwritten by another leader.
        let is_removed = members_index <= self.commit && !members.contains(from);
        if is_removed && self.has_lease(now) {
            let term = self.hard_state.term;
            self.send_after_sync(from, Message::Released { term });
        }
    }

    pub(super) fn receive_release(&mut self, term: Term) {
        // A reply of an earlier term is late, and may be to an earlier stop of this VM.
        if self.departures.is_own() && term >= self.hard_state.term {
            self.departures.own = OwnStop::Released;
        }
    }

    /// Passes the lead on to the voter whose log is complete and that does not stop itself,
    /// and returns whether this replica has stopped leading. Changes in progress are completed
    /// before; new ones are refused meanwhile, so that their senders try another VM.
    pub fn transfer_lead(&mut self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else {
            return true;
        };
        let mut others = leader.progress.keys().copied();
        let is_successor =
            |id: &VoterId| !self.is_departing(now, *id) && self.is_up_to_date(now, *id);
        let successor = others.find(is_successor);
        let is_idle = leader.pending.is_none() && leader.replacement.is_none();
        if let Role::Leader(leader) = &mut self.role {
            leader.is_resigning = true;
        }
        let Some(successor) = successor.filter(|_| is_idle) else {
            return false;
        };
        log::info!(event = "leader", successor = successor; "passing the lead on before a stop");
        self.resign_to(now, successor);
        true
    }

    /// Passes the lead on to a voter, and returns whether it did. It does so only while this
    /// replica has nothing to answer and the log of the other one is complete, so that no
    /// sender has to try again.
    pub fn pass_lead(&mut self, now: Instant, successor: VoterId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let is_idle = leader.pending.is_none()
            && leader.queued.is_empty()
            && leader.reads.is_empty()
            && leader.replacement.is_none()
            && self.commit == self.log.last_index();
        if !is_idle || !self.has_lease(now) || !self.is_up_to_date(now, successor) {
            return false;
        }
        self.resign_to(now, successor);
        true
    }

    /// Returns whether another voter has all entries of this leader, and has answered as
    /// lately as a quorum.
    fn is_up_to_date(&self, now: Instant, id: VoterId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let lease_start = self.quorum_ack_send_time(now);
        let is_matched = |progress: &Progress| {
            progress.matched == self.log.last_index() && progress.acked_sent >= lease_start
        };
        self.log.members().1.contains(id) && leader.progress.get(&id).is_some_and(is_matched)
    }

    /// Stops leading, and has a voter start an election at once.
    fn resign_to(&mut self, now: Instant, successor: VoterId) {
        let term = self.hard_state.term;
        self.become_follower(now, None);
        self.send_after_hard_state(successor, Message::StartElection { term });
    }
}
