//! Selection of the control VMs that become voters, and of the voters that
//! they replace.
//!
//! A site without an operator replaces lost voters automatically: the leader
//! tracks contact with all control VMs, voters or not, and changes the voters
//! one step at a time. See `docs/design/platform.md`.

mod optional;
mod settings;

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::join_time::{JoinTime, join_time};
use crate::{Members, VoterChange, VoterId};

pub use settings::VoterPlannerSettings;

/// The time for which a leader has the lease before it considers a voter as lost: two
/// intervals of reports of other control VMs, in case it was cut off before.
const CONTACT_WAIT: Duration = Duration::from_millis(1_000);

/// The contacts with one control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    /// The address at which it listens for other control VMs.
    address: SocketAddr,
    /// Its failure domain.
    domain: Box<str>,
    /// When the VM at its address joined, which may have had another id before it lost its
    /// disk.
    joined: JoinTime,
    /// The first contact of an uninterrupted series.
    first_contact: Instant,
    last_contact: Instant,
    /// Whether its last connection has ended since.
    is_disconnected: bool,
    /// The instant until which other standbys are preferred.
    avoided_until: Instant,
}

/// Determines the next change of the voters from the contacts with control VMs.
#[derive(Debug)]
pub struct VoterPlanner {
    settings: VoterPlannerSettings,
    /// The start of the leader's lease, or a later instant.
    leads_since: Instant,
    peers: IndexMap<VoterId, Peer>,
    /// The last messages of the consensus, which arrive also while a feed reconnects.
    messages: IndexMap<VoterId, Instant>,
    /// VMs that have refused a connection since the last contact or message.
    refused: IndexSet<VoterId>,
    /// The voters at the last call, and the instant of their last change.
    voters: (Members, Instant),
    /// The instants of the optional changes within the last minute.
    optional_changes: VecDeque<Instant>,
    /// The instant before which no optional change starts.
    held_until: Instant,
}

impl VoterPlanner {
    /// Returns a planner without contacts; no voter without contact counts as
    /// lost before `lost_after` has passed from `now`.
    pub fn new(settings: VoterPlannerSettings, now: Instant) -> Self {
        Self {
            leads_since: now + settings.lost_after.saturating_sub(CONTACT_WAIT),
            settings,
            peers: IndexMap::new(),
            messages: IndexMap::new(),
            refused: IndexSet::new(),
            voters: (Members::default(), now),
            optional_changes: VecDeque::new(),
            held_until: now,
        }
    }

    /// Records contact with a control VM.
    pub fn record_contact(&mut self, now: Instant, id: VoterId, address: SocketAddr, domain: &str) {
        self.refused.swap_remove(&id);
        let at_address = self.peers.values().filter(|peer| peer.address == address);
        let joined = at_address.map(|peer| peer.joined).min();
        let known = self.peers.get(&id);
        let continued = known.filter(|peer| now < peer.last_contact + self.settings.lost_after);
        let peer = Peer {
            address,
            domain: domain.into(),
            joined: joined.map_or(join_time(id), |joined| joined.min(join_time(id))),
            first_contact: continued.map_or(now, |peer| peer.first_contact),
            last_contact: now,
            is_disconnected: false,
            avoided_until: known.map_or(now, |peer| peer.avoided_until),
        };
        self.peers.insert(id, peer);
    }

    /// Records a message of the consensus.
    pub fn record_message(&mut self, now: Instant, from: VoterId) {
        self.refused.swap_remove(&from);
        self.messages.insert(from, now);
    }

    /// Records that no process listens at the address of a control VM, which counts until the
    /// next contact.
    pub fn record_refusal(&mut self, id: VoterId) {
        self.refused.insert(id);
    }

    /// Records that the connection of a control VM has ended, as at its stop.
    pub fn record_disconnect(&mut self, id: VoterId) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.is_disconnected = true;
        }
    }

    /// Records that a standby did not catch up in time, so that others are preferred.
    pub fn avoid(&mut self, now: Instant, id: VoterId) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.avoided_until = now + self.settings.avoided_for;
        }
    }

    /// Records that this VM does not have the lease: a VM that was not the leader, or was
    /// suspended, may not have received all messages of the voters.
    pub fn restart_timeouts(&mut self, now: Instant) {
        self.leads_since = self.leads_since.max(now);
    }

    /// Records that a write to the leader's own disk is slow.
    pub fn record_slow_write(&mut self, now: Instant) {
        self.held_until = now + self.settings.held_for;
    }

    /// Returns the next change that the voters need, or `None`. Called on the leader, whose id
    /// is `own` and which may be no voter; `is_departing` returns whether a VM has announced
    /// that it stops.
    pub fn next_change(
        &mut self,
        now: Instant,
        own: VoterId,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> Option<VoterChange> {
        if self.voters.0 != *members {
            self.voters = (members.clone(), now);
        }
        if let Some(own) = self.peers.get_mut(&own) {
            own.last_contact = now;
        }
        self.messages.retain(|id, _| members.contains(*id));
        let is_known = |id: &VoterId| members.contains(*id) || self.peers.contains_key(id);
        self.refused.retain(is_known);
        let count = members.ids().count();
        let leaving = self.leaving_voter(now, own, members, &is_departing);
        if let Some(leaving) = leaving {
            if count > self.settings.min_voters {
                return self.removal(now, leaving, own, members);
            }
            return self.addition(now, members, Some(leaving), &is_departing);
        }
        if count < self.settings.min_voters {
            return self.addition(now, members, None, &is_departing);
        }
        self.optional_change(now, own, members, &is_departing)
    }

    /// Returns why a planned change is made, for logs.
    pub fn reason(
        &self,
        now: Instant,
        change: &VoterChange,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> &'static str {
        match change.lost {
            None if members.ids().count() < self.settings.min_voters => "missing",
            None => "more_vms",
            Some(lost) if is_departing(lost) => "departing",
            Some(lost) if !self.is_alive(now, lost) => "lost",
            Some(_) if members.contains(change.fresh) => "surplus",
            Some(lost) if self.is_older(lost, change.fresh) && self.is_spread(members) => "renewal",
            Some(_) => "spread",
        }
    }

    /// Returns a voter that stops or is lost.
    fn leaving_voter(
        &self,
        now: Instant,
        own: VoterId,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> Option<VoterId> {
        let others = || members.ids().filter(|id| *id != own);
        let departing = others().find(|id| is_departing(*id));
        departing.or_else(|| others().find(|id| self.is_lost(now, *id, own, members)))
    }

    /// Returns whether the vote of a voter that stops or is lost waits while `current` is in
    /// progress: it can be removed without a standby, or `current` replaces another voter.
    pub fn has_pending_removal(
        &self,
        now: Instant,
        own: VoterId,
        members: &Members,
        current: &VoterChange,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> bool {
        let leaving = self.leaving_voter(now, own, members, is_departing);
        let needs_no_standby = members.ids().count() > self.settings.min_voters;
        let replaces_other = current.lost.is_some() && current.lost != leaving;
        leaving.is_some() && (needs_no_standby || replaces_other)
    }

    /// Returns whether the vote of this VM, `own`, can be handed over when it stops.
    pub fn can_replace(&self, now: Instant, own: VoterId, members: &Members) -> bool {
        let has_spare = members.ids().count() > self.settings.min_voters;
        has_spare
            || self
                .best_standby(now, members, Some(own), |_| false)
                .is_some()
    }

    /// Returns whether another standby than `joining` could become a voter instead.
    pub fn has_alternative(&self, now: Instant, joining: VoterId, members: &Members) -> bool {
        let is_excluded = |id: VoterId| id == joining || self.is_avoided(now, id);
        self.best_standby(now, members, None, is_excluded).is_some()
    }

    fn addition(
        &self,
        now: Instant,
        members: &Members,
        lost: Option<VoterId>,
        is_excluded: impl Fn(VoterId) -> bool,
    ) -> Option<VoterChange> {
        let fresh = self.best_standby(now, members, lost, is_excluded)?;
        let address = self.peers[&fresh].address;
        Some(VoterChange {
            lost,
            fresh,
            address,
        })
    }

    /// Returns the change that only removes a voter. Its successor, if there is one, is a voter
    /// already: the leader that added it has not completed the change.
    fn removal(
        &self,
        now: Instant,
        lost: VoterId,
        own: VoterId,
        members: &Members,
    ) -> Option<VoterChange> {
        let lost_address = members.address(lost);
        let is_candidate = |id: &VoterId| *id != own && *id != lost && self.is_alive(now, *id);
        let present = members
            .ids()
            .filter(is_candidate)
            .min_by_key(|id| (members.address(*id) != lost_address, *id))?;
        Some(VoterChange {
            lost: Some(lost),
            fresh: present,
            address: members.address(present)?,
        })
    }

    /// Returns whether there was contact with a control VM within `lost_after`, and its
    /// process has not ended since.
    pub fn is_alive(&self, now: Instant, id: VoterId) -> bool {
        self.has_contact_within(now, id, self.settings.lost_after) && !self.is_gone(id)
    }

    /// Returns whether the process of a control VM has ended: its connection has, and another
    /// one was refused. One without any contact so far may not have started yet.
    fn is_gone(&self, id: VoterId) -> bool {
        let peer = self.peers.get(&id);
        self.refused.contains(&id) && peer.is_some_and(|peer| peer.is_disconnected)
    }

    fn has_contact_within(&self, now: Instant, id: VoterId, time: Duration) -> bool {
        let contact = self.peers.get(&id).map(|peer| peer.last_contact);
        let message = self.messages.get(&id).copied();
        let last_contact = contact.max(message);
        last_contact.is_some_and(|contact| now < contact + time)
    }

    fn is_settled(&self, id: VoterId) -> bool {
        let settled_after = self.settings.settled_after;
        let peer = self.peers.get(&id);
        peer.is_some_and(|peer| peer.last_contact >= peer.first_contact + settled_after)
    }

    fn is_avoided(&self, now: Instant, id: VoterId) -> bool {
        let peer = self.peers.get(&id);
        peer.is_some_and(|peer| peer.is_disconnected || now < peer.avoided_until)
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
        let timed_out = now >= self.leads_since + CONTACT_WAIT;
        timed_out || self.is_gone(id) || is_succeeded_by_own || self.peers.iter().any(is_successor)
    }

    /// Returns the live control VMs that are no voters.
    fn standbys(&self, now: Instant, members: &Members) -> impl Iterator<Item = VoterId> {
        let ids = self.peers.keys().copied();
        ids.filter(move |id| !members.contains(*id) && self.is_alive(now, *id))
    }

    /// Returns the live standby whose failure domain has the fewest voters other than `lost`,
    /// and one that is avoided only if there is no other. Among equals, it prefers the address
    /// of `lost`, then the youngest VM, then the lowest id.
    fn best_standby(
        &self,
        now: Instant,
        members: &Members,
        lost: Option<VoterId>,
        is_excluded: impl Fn(VoterId) -> bool,
    ) -> Option<VoterId> {
        let lost_address = lost.and_then(|id| members.address(id));
        let remaining = || members.ids().filter(|id| Some(*id) != lost);
        let voters_in_domain = |peer: &Peer| {
            remaining()
                .filter(|id| self.peers.get(id).is_some_and(|p| p.domain == peer.domain))
                .count()
        };
        let taken: Vec<SocketAddr> = remaining().filter_map(|id| members.address(id)).collect();
        self.standbys(now, members)
            .filter(|id| !is_excluded(*id))
            .map(|id| (id, &self.peers[&id]))
            .filter(|(_, peer)| !taken.contains(&peer.address))
            .min_by_key(|(id, peer)| {
                (
                    self.is_avoided(now, *id),
                    voters_in_domain(peer),
                    Some(peer.address) != lost_address,
                    Reverse(peer.joined),
                    *id,
                )
            })
            .map(|(id, _)| id)
    }
}
