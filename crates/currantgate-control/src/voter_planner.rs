//! Selection of the control VMs that become voters, and of the voters that
//! they replace.
//!
//! A site without an operator replaces lost voters automatically: the leader
//! tracks contact with all control VMs, voters or not, and changes the voters
//! one step at a time. See `docs/design/platform.md`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::domain_spread::{largest_spread, outlasts_loss};
use crate::{Members, VoterChange, VoterId, VoterSpread};

/// Settings of a [`VoterPlanner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterPlannerSettings {
    /// The fewest voters that the site should have: 2f + 1 to tolerate the
    /// simultaneous loss of f VMs.
    pub min_voters: usize,
    /// The most voters. While more control VMs than `min_voters` are alive, more of them
    /// vote, so that a majority of the control VMs is always one of the voters too, and
    /// several VMs that have successors can be removed at once.
    pub max_voters: usize,
    /// The number of failure domains that may be lost at the same time while a quorum of the
    /// voters stays, if the control VMs are in enough of them.
    pub tolerated_domains: usize,
    /// The time without contact after which a voter is replaced. It must exceed
    /// two heartbeat intervals plus a reconnect, and stay below the time within
    /// which the successor of a replaced VM must count as recovered.
    pub lost_after: Duration,
    /// The time of contact after which a VM becomes a voter in excess of `min_voters`, so
    /// that one that starts again and again does not change the voters each time.
    pub settled_after: Duration,
    /// The time after a change of the voters for which an even number of them is kept. It is
    /// then reduced by one, which costs no tolerance.
    pub even_kept_for: Duration,
    /// The time for which a standby that did not catch up is avoided.
    pub avoided_for: Duration,
    /// The most optional changes within a minute. The loss and return of a failure domain of
    /// nine voters takes four, and they can follow each other every 15 s.
    pub max_optional_changes: usize,
    /// The time after a slow write to the leader's own disk in which it starts no optional
    /// change: each of them has to be written there as well.
    pub held_for: Duration,
}

impl Default for VoterPlannerSettings {
    fn default() -> Self {
        Self {
            min_voters: 3,
            max_voters: 9,
            tolerated_domains: 0,
            lost_after: Duration::from_millis(2_500),
            settled_after: Duration::from_millis(1_000),
            even_kept_for: Duration::from_secs(10),
            avoided_for: Duration::from_secs(10),
            max_optional_changes: 20,
            held_for: Duration::from_secs(2),
        }
    }
}

/// The time over which optional changes are counted.
const CHANGE_LIMIT_WINDOW: Duration = Duration::from_secs(60);

/// The time without contact after which the state of a voter is in doubt, so that no optional
/// change starts: two intervals of reports.
const DOUBTED_AFTER: Duration = Duration::from_millis(1_000);

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
            voters: (Members::default(), now),
            optional_changes: VecDeque::new(),
            held_until: now,
        }
    }

    /// Records contact with a control VM.
    pub fn record_contact(&mut self, now: Instant, id: VoterId, address: SocketAddr, domain: &str) {
        let known = self.peers.get(&id);
        let continued = known.filter(|peer| now < peer.last_contact + self.settings.lost_after);
        let peer = Peer {
            address,
            domain: domain.into(),
            first_contact: continued.map_or(now, |peer| peer.first_contact),
            last_contact: now,
            is_disconnected: false,
            avoided_until: known.map_or(now, |peer| peer.avoided_until),
        };
        self.peers.insert(id, peer);
    }

    /// Records a message of the consensus.
    pub fn record_message(&mut self, now: Instant, from: VoterId) {
        self.messages.insert(from, now);
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
    /// is `own`; `is_departing` returns whether a VM has announced that it stops.
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
        self.messages.retain(|id, _| members.contains(*id));
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

    /// Returns the next change of voters of which none is lost or missing: more or fewer of
    /// them, or others, so that a quorum outlasts what the site tolerates.
    fn optional_change(
        &mut self,
        now: Instant,
        own: VoterId,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> Option<VoterChange> {
        if !self.may_start_optional_change(now, own, members) {
            return None;
        }
        let candidates = self.candidates(now, members, is_departing);
        let is_excluded = |id| !candidates.contains(&id);
        let count = members.ids().count();
        let spread = self.largest_spread(members, &candidates);
        // A spread over failure domains goes before a larger number of voters.
        let wanted = spread.unwrap_or_else(|| self.voters_for(count + candidates.len()));
        let is_spread = self.is_spread(members);
        let is_urgent = spread.is_some() && !is_spread;
        let is_due = now >= self.voters.1 + self.settings.even_kept_for;
        let change = if count < wanted {
            self.addition(now, members, None, is_excluded)
        } else if count > wanted && (is_urgent || count.is_multiple_of(2) && is_due) {
            let surplus = self.crowded_voter(own, members);
            surplus.and_then(|surplus| self.removal(now, surplus, own, members))
        } else if !is_spread {
            self.spreading_change(now, own, members, is_excluded)
        } else {
            None
        };
        if change.is_some() {
            self.optional_changes.push_back(now);
        }
        change
    }

    /// Returns whether nothing stands against an optional change: the domain of each voter is
    /// known, none is in doubt, and the number of changes is within the limit.
    fn may_start_optional_change(&mut self, now: Instant, own: VoterId, members: &Members) -> bool {
        let is_recent = |at: &Instant| now < *at + CHANGE_LIMIT_WINDOW;
        self.optional_changes.retain(is_recent);
        let is_present = |id| id == own || self.has_contact_within(now, id, DOUBTED_AFTER);
        let is_known = |id| self.settings.tolerated_domains == 0 || self.peers.contains_key(&id);
        now >= self.held_until
            && self.optional_changes.len() < self.settings.max_optional_changes
            && members.ids().all(|id| is_present(id) && is_known(id))
    }

    /// Returns the standbys that may become voters in an optional change.
    fn candidates(
        &self,
        now: Instant,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> Vec<VoterId> {
        let is_stable =
            |id: &VoterId| !is_departing(*id) && self.is_settled(*id) && !self.is_avoided(now, *id);
        self.standbys(now, members).filter(is_stable).collect()
    }

    /// Returns the number of VMs in each failure domain.
    fn count_by_domain(&self, ids: impl Iterator<Item = VoterId>) -> IndexMap<&str, usize> {
        let mut counts = IndexMap::new();
        for peer in ids.filter_map(|id| self.peers.get(&id)) {
            *counts.entry(&*peer.domain).or_default() += 1;
        }
        counts
    }

    /// Returns the number of voters in each failure domain, as far as these are known.
    pub fn voters_by_domain(&self, members: &Members) -> IndexMap<&str, usize> {
        self.count_by_domain(members.ids())
    }

    /// Returns whether a quorum of the voters outlasts the loss of the tolerated domains.
    fn is_spread(&self, members: &Members) -> bool {
        let voters: Vec<_> = self.voters_by_domain(members).into_values().collect();
        let tolerated = self.settings.tolerated_domains;
        tolerated == 0 || outlasts_loss(&voters, tolerated)
    }

    /// Returns the largest number of voters that can be spread so that a quorum outlasts
    /// the loss of the tolerated domains, or `None` if none can.
    fn largest_spread(&self, members: &Members, candidates: &[VoterId]) -> Option<usize> {
        let ids = members.ids().chain(candidates.iter().copied());
        let vms: Vec<_> = self.count_by_domain(ids).into_values().collect();
        let range = self.settings.min_voters..=self.voters_for(vms.iter().sum());
        largest_spread(&vms, self.settings.tolerated_domains, range)
    }

    /// Returns the change that moves a vote from the failure domain with the most voters to
    /// the one with the fewest. It must reduce the difference, so that the moves end.
    fn spreading_change(
        &self,
        now: Instant,
        own: VoterId,
        members: &Members,
        is_excluded: impl Fn(VoterId) -> bool,
    ) -> Option<VoterChange> {
        let crowded = self.crowded_voter(own, members)?;
        let change = self.addition(now, members, Some(crowded), is_excluded)?;
        let voters = self.voters_by_domain(members);
        let voters_near = |id| self.peers.get(&id).and_then(|p| voters.get(&*p.domain));
        let after = voters_near(change.fresh).unwrap_or(&0) + 1;
        (after < *voters_near(crowded)?).then_some(change)
    }

    /// Returns whether the voters outlast what the site tolerates, or can be changed to.
    pub fn spread(
        &self,
        now: Instant,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> VoterSpread {
        let candidates = self.candidates(now, members, is_departing);
        let has_enough = members.ids().count() >= self.settings.min_voters;
        if has_enough && self.is_spread(members) {
            VoterSpread::Spread
        } else if self.largest_spread(members, &candidates).is_some() {
            VoterSpread::Changing
        } else {
            VoterSpread::Unattainable
        }
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

    /// Returns the number of voters for a number of control VMs: an odd one, as one more
    /// would add to the quorum and tolerate no further loss.
    fn voters_for(&self, vms: usize) -> usize {
        let odd = vms - usize::from(vms.is_multiple_of(2));
        let most = self.settings.max_voters.max(self.settings.min_voters);
        odd.clamp(self.settings.min_voters, most)
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

    /// Returns a voter other than the leader, of the failure domain with the most voters.
    fn crowded_voter(&self, own: VoterId, members: &Members) -> Option<VoterId> {
        let domain = |id: VoterId| self.peers.get(&id).map(|peer| &*peer.domain);
        let in_domain_of = |id| members.ids().filter(|i| domain(*i) == domain(id)).count();
        let others = members.ids().filter(|id| *id != own);
        others.max_by_key(|id| (in_domain_of(*id), *id))
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

    /// Returns whether there was contact with a control VM within `lost_after`.
    pub fn is_alive(&self, now: Instant, id: VoterId) -> bool {
        self.has_contact_within(now, id, self.settings.lost_after)
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
        timed_out || is_succeeded_by_own || self.peers.iter().any(is_successor)
    }

    /// Returns the live control VMs that are no voters.
    fn standbys(&self, now: Instant, members: &Members) -> impl Iterator<Item = VoterId> {
        let ids = self.peers.keys().copied();
        ids.filter(move |id| !members.contains(*id) && self.is_alive(now, *id))
    }

    /// Returns the live standby whose failure domain has the fewest voters other than `lost`,
    /// and one that is avoided only if there is no other. Among equals, it prefers the address
    /// of `lost`, then the lowest id.
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
                    *id,
                )
            })
            .map(|(id, _)| id)
    }
}
