//! Selection of the control VMs that become voters, and of the voters that
//! they replace.
//!
//! A site without an operator replaces lost voters automatically: the leader
//! tracks contact with all control VMs, voters or not, and changes the voters
//! one step at a time. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{Members, VoterChange, VoterId};

/// Settings of a [`VoterPlanner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterPlannerSettings {
    /// The number of voters that the site should have: 2f + 1 to tolerate the
    /// simultaneous loss of f VMs.
    pub target: usize,
    /// The time without contact after which a voter is replaced. It must exceed
    /// two heartbeat intervals plus a reconnect, and stay below the time within
    /// which the successor of a replaced VM must count as recovered.
    pub lost_after: Duration,
}

impl Default for VoterPlannerSettings {
    fn default() -> Self {
        Self {
            target: 3,
            lost_after: Duration::from_millis(2_500),
        }
    }
}

/// The last contact with one control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    /// The address at which it listens for other control VMs.
    address: SocketAddr,
    /// Its failure domain.
    domain: Box<str>,
    last_contact: Instant,
}

/// Determines the next change of the voters from the contacts with control VMs.
#[derive(Debug)]
pub struct VoterPlanner {
    settings: VoterPlannerSettings,
    started: Instant,
    peers: IndexMap<VoterId, Peer>,
}

impl VoterPlanner {
    /// Returns a planner without contacts; no voter without contact counts as
    /// lost before `lost_after` has passed from `now`.
    pub fn new(settings: VoterPlannerSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            peers: IndexMap::new(),
        }
    }

    /// Records contact with a control VM.
    pub fn record_contact(&mut self, now: Instant, id: VoterId, address: SocketAddr, domain: &str) {
        let peer = Peer {
            address,
            domain: domain.into(),
            last_contact: now,
        };
        self.peers.insert(id, peer);
    }

    /// Restarts the timeouts of all voters: a VM that was not the leader, or was
    /// suspended, received no messages from them.
    pub fn restart_timeouts(&mut self, now: Instant) {
        self.started = now;
    }

    /// Returns the next change that the voters need, or `None`. Called on the
    /// leader, whose id is `own`.
    pub fn next_change(
        &self,
        now: Instant,
        own: VoterId,
        members: &Members,
    ) -> Option<VoterChange> {
        let lost = members
            .ids()
            .find(|id| *id != own && self.is_lost(now, *id, own, members));
        if let Some(lost) = lost
            && members.ids().count() > self.settings.target
        {
            return self.removal(now, lost, own, members);
        }
        let fresh = self.best_standby(now, members, lost)?;
        let missing = members.ids().count() < self.settings.target;
        if lost.is_none() && !missing {
            return None;
        }
        let address = self.peers[&fresh].address;
        Some(VoterChange {
            lost,
            fresh,
            address,
        })
    }

    /// Returns the change that removes a lost voter whose successor is a voter already: the
    /// leader that added it has not completed the change. Until then the quorum is larger
    /// than that of the target.
    fn removal(
        &self,
        now: Instant,
        lost: VoterId,
        own: VoterId,
        members: &Members,
    ) -> Option<VoterChange> {
        let lost_address = members.address(lost);
        let present = members
            .ids()
            .filter(|id| *id != own && self.is_alive(now, *id))
            .min_by_key(|id| (members.address(*id) != lost_address, *id))?;
        Some(VoterChange {
            lost: Some(lost),
            fresh: present,
            address: members.address(present)?,
        })
    }

    /// Returns whether there was contact with a control VM within `lost_after`.
    pub fn is_alive(&self, now: Instant, id: VoterId) -> bool {
        let last_contact = self.peers.get(&id).map(|peer| peer.last_contact);
        last_contact.is_some_and(|contact| now < contact + self.settings.lost_after)
    }

    fn is_lost(&self, now: Instant, id: VoterId, own: VoterId, members: &Members) -> bool {
        if self.is_alive(now, id) {
            return false;
        }
        // A live VM with another id at the voter's address proves that the
        // voter's disk is lost.
        let address = members.address(id);
        let is_successor = |(other, peer): (&VoterId, &Peer)| {
            *other != id && self.is_alive(now, *other) && Some(peer.address) == address
        };
        let is_succeeded_by_own = members.address(own) == address;
        let timed_out = now >= self.started + self.settings.lost_after;
        timed_out || is_succeeded_by_own || self.peers.iter().any(is_successor)
    }

    /// Returns the live non-voter whose failure domain has the fewest voters
    /// other than `lost`. Among equals, it prefers the address of `lost`, then
    /// the lowest id.
    fn best_standby(
        &self,
        now: Instant,
        members: &Members,
        lost: Option<VoterId>,
    ) -> Option<VoterId> {
        let lost_address = lost.and_then(|id| members.address(id));
        let remaining = || members.ids().filter(|id| Some(*id) != lost);
        let voters_in_domain = |peer: &Peer| {
            remaining()
                .filter(|id| self.peers.get(id).is_some_and(|p| p.domain == peer.domain))
                .count()
        };
        let taken: Vec<SocketAddr> = remaining().filter_map(|id| members.address(id)).collect();
        self.peers
            .iter()
            .filter(|(id, _)| !members.contains(**id) && self.is_alive(now, **id))
            .filter(|(_, peer)| !taken.contains(&peer.address))
            .min_by_key(|(id, peer)| {
                (
                    voters_in_domain(peer),
                    Some(peer.address) != lost_address,
                    **id,
                )
            })
            .map(|(id, _)| *id)
    }
}
