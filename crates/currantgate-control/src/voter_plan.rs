//! Which control VM should become a voter, and in whose place.
//!
//! A site that has no operator at hand replaces lost voters by itself: the
//! leader hears from all control VMs, voters or not, and takes one step at a
//! time. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{Members, VoterChange, VoterId};

/// Settings of a [`VoterPlan`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterPlanSettings {
    /// How many voters the site should have: two for each VM that may be lost
    /// at a time, and one.
    pub target: usize,
    /// Silence after which a voter is replaced. It is above two heartbeats and
    /// a reconnect, and below the time after which a replaced VM's successor
    /// must count as recovered.
    pub lost_after: Duration,
}

impl Default for VoterPlanSettings {
    fn default() -> Self {
        Self {
            target: 3,
            lost_after: Duration::from_millis(2_500),
        }
    }
}

/// What is known of one control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    /// Where it listens for other control VMs.
    address: SocketAddr,
    /// Its failure domain.
    domain: Box<str>,
    heard: Instant,
}

/// Decides the next change of the voters from what is heard of control VMs.
#[derive(Debug)]
pub struct VoterPlan {
    settings: VoterPlanSettings,
    started: Instant,
    peers: IndexMap<VoterId, Peer>,
}

impl VoterPlan {
    /// Starts without knowledge: no voter counts as lost before it could have
    /// been heard.
    pub fn new(settings: VoterPlanSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            peers: IndexMap::new(),
        }
    }

    /// Notes that a control VM is alive.
    pub fn heard(&mut self, now: Instant, id: VoterId, address: SocketAddr, domain: &str) {
        let peer = Peer {
            address,
            domain: domain.into(),
            heard: now,
        };
        self.peers.insert(id, peer);
    }

    /// Starts the time of silence anew: a VM that did not lead, or stood still,
    /// has not listened.
    pub fn restart(&mut self, now: Instant) {
        self.started = now;
    }

    /// Returns the change that the voters need next; the leader asks.
    pub fn next(&self, now: Instant, own: VoterId, members: &Members) -> Option<VoterChange> {
        let lost = members
            .ids()
            .find(|id| *id != own && self.is_lost(now, *id, members));
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

    /// Tells whether a control VM was heard within the time of silence.
    pub fn is_alive(&self, now: Instant, id: VoterId) -> bool {
        let heard = self.peers.get(&id).map(|peer| peer.heard);
        heard.is_some_and(|heard| now < heard + self.settings.lost_after)
    }

    fn is_lost(&self, now: Instant, id: VoterId, members: &Members) -> bool {
        if self.is_alive(now, id) {
            return false;
        }
        // Another id at its address proves that its disk is gone.
        let address = members.address(id);
        let is_successor = |(other, peer): (&VoterId, &Peer)| {
            *other != id && self.is_alive(now, *other) && Some(peer.address) == address
        };
        let silent = now >= self.started + self.settings.lost_after;
        silent || self.peers.iter().any(is_successor)
    }

    /// Returns the live VM that is no voter and stands where fewest voters do.
    fn best_standby(
        &self,
        now: Instant,
        members: &Members,
        lost: Option<VoterId>,
    ) -> Option<VoterId> {
        let lost_address = lost.and_then(|id| members.address(id));
        let remaining = || members.ids().filter(|id| Some(*id) != lost);
        let crowding = |peer: &Peer| {
            remaining()
                .filter(|id| self.peers.get(id).is_some_and(|p| p.domain == peer.domain))
                .count()
        };
        let taken: Vec<SocketAddr> = remaining().filter_map(|id| members.address(id)).collect();
        self.peers
            .iter()
            .filter(|(id, _)| !members.contains(**id) && self.is_alive(now, **id))
            .filter(|(_, peer)| !taken.contains(&peer.address))
            .min_by_key(|(id, peer)| (crowding(peer), Some(peer.address) != lost_address, **id))
            .map(|(id, _)| *id)
    }
}
