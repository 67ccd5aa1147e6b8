//! Optional changes of the voters: no voter is lost or missing, but another number of them, or
//! others, outlast more losses. See `docs/design/control.md`.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::VoterPlanner;
use crate::domain_spread::{
    DomainVms, MissingVotes, Tolerated, best_spread, missing_votes, outlasts_loss,
};
use crate::join_time::{JoinTime, is_older, join_time};
use crate::{Members, VoterChange, VoterId, VoterSpread};

/// The time over which optional changes are counted.
const CHANGE_LIMIT_WINDOW: Duration = Duration::from_secs(60);

/// The time without contact after which the state of a voter is in doubt, so that no optional
/// change starts: two intervals of reports.
const DOUBTED_AFTER: Duration = Duration::from_millis(1_000);

/// What the voters need while none is lost or missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Assessment {
    /// More voters outlast more losses.
    TooFew,
    /// Fewer voters outlast as many losses or more.
    TooMany,
    /// A failure domain has too many of them.
    Crowded,
    /// They are enough, and may be renewed.
    Enough,
}

impl VoterPlanner {
    /// Returns the next change of voters of which none is lost or missing: more or fewer of
    /// them, or others, so that a quorum outlasts what the site tolerates and the removal of
    /// VMs that have successors.
    pub(super) fn optional_change(
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
        let change = match self.assess(now, members, &candidates) {
            Assessment::TooFew => self.addition(now, members, None, is_excluded),
            Assessment::TooMany => {
                let surplus = self.crowded_voter(own, members);
                surplus.and_then(|surplus| self.removal(now, surplus, own, members))
            }
            Assessment::Crowded => self.spreading_change(now, own, members, is_excluded),
            Assessment::Enough => self.renewing_change(own, members, &candidates),
        };
        if change.is_some() {
            self.count_optional_change(now);
        }
        change
    }

    fn assess(&self, now: Instant, members: &Members, candidates: &[VoterId]) -> Assessment {
        let count = members.ids().count();
        let best = self.best_spread(members, candidates);
        // A spread over failure domains goes before a larger number of voters.
        let wanted = best.map_or_else(
            || self.voters_for(count + candidates.len()),
            |(wanted, _)| wanted,
        );
        let is_spread = self.is_spread(members);
        let misses_votes =
            best.is_some_and(|(_, least)| self.missing_votes(members, candidates) > least);
        let is_urgent = best.is_some() && (!is_spread || misses_votes);
        let is_due = now >= self.voters.1 + self.settings.even_kept_for;
        if count < wanted {
            Assessment::TooFew
        } else if count > wanted && (is_urgent || count.is_multiple_of(2) && is_due) {
            Assessment::TooMany
        } else if !is_spread {
            Assessment::Crowded
        } else {
            Assessment::Enough
        }
    }

    /// Returns the younger voter that should lead instead of this VM, `own`, which may be removed
    /// before it: the election after its removal would delay the replacement of its vote. A
    /// leader that has given up its vote keeps the lead.
    pub fn next_leader(
        &mut self,
        now: Instant,
        own: VoterId,
        members: &Members,
        is_departing: impl Fn(VoterId) -> bool,
    ) -> Option<VoterId> {
        let is_due = now >= self.leads_since + self.settings.lead_kept_for;
        if !is_due || !members.contains(own) || !self.may_start_optional_change(now, own, members) {
            return None;
        }
        let others = members.ids().filter(|id| *id != own && !is_departing(*id));
        let youngest = others.max_by_key(|id| (self.joined(*id), Reverse(*id)))?;
        self.is_older(own, youngest).then_some(youngest)
    }

    /// Counts a change that [`Self::next_change`] did not return, such as one of the leader.
    pub fn count_optional_change(&mut self, now: Instant) {
        self.optional_changes.push_back(now);
    }

    /// Returns whether nothing stands against an optional change: the domain of each voter is
    /// known, none is in doubt, and the number of changes is within the limit.
    fn may_start_optional_change(&mut self, now: Instant, own: VoterId, members: &Members) -> bool {
        let is_recent = |at: &Instant| now < *at + CHANGE_LIMIT_WINDOW;
        self.optional_changes.retain(is_recent);
        let is_present =
            |id| id == own || self.has_contact_within(now, id, DOUBTED_AFTER) && !self.is_gone(id);
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
        for domain in ids.filter_map(|id| self.domain(id)) {
            *counts.entry(domain).or_default() += 1;
        }
        counts
    }

    /// Returns the number of voters in each failure domain, as far as these are known.
    pub fn voters_by_domain(&self, members: &Members) -> IndexMap<&str, usize> {
        self.count_by_domain(members.ids())
    }

    /// Returns whether a quorum of the voters outlasts the loss of the tolerated domains.
    pub(super) fn is_spread(&self, members: &Members) -> bool {
        let voters: Vec<_> = self.voters_by_domain(members).into_values().collect();
        let tolerated = self.settings.tolerated_domains;
        tolerated == 0 || outlasts_loss(&voters, tolerated)
    }

    /// Returns the failures that the site tolerates.
    fn tolerated(&self) -> Tolerated {
        Tolerated {
            vms: self.settings.min_voters.saturating_sub(1) / 2,
            domains: self.settings.tolerated_domains,
        }
    }

    /// Returns the number of voters that outlasts the most losses, of those that can be spread so
    /// that a quorum outlasts the loss of the tolerated domains, or `None` if none can.
    fn best_spread(
        &self,
        members: &Members,
        candidates: &[VoterId],
    ) -> Option<(usize, MissingVotes)> {
        let ids = members.ids().chain(candidates.iter().copied());
        let vms = self.join_times(ids).into_values().collect::<Vec<_>>();
        let range = self.settings.min_voters..=self.voters_for(vms.iter().map(Vec::len).sum());
        best_spread(&vms, self.tolerated(), range)
    }

    /// Returns how many votes the present voters miss after the losses that they should outlast.
    fn missing_votes(&self, members: &Members, candidates: &[VoterId]) -> MissingVotes {
        let mut voters = self.join_times(members.ids());
        let mut standbys = self.join_times(candidates.iter().copied());
        for domain in standbys.keys() {
            voters.entry(domain).or_default();
        }
        let domains: Vec<_> = voters
            .into_iter()
            .map(|(domain, times)| {
                DomainVms::new(times, standbys.swap_remove(domain).unwrap_or_default())
            })
            .collect();
        missing_votes(&domains, self.tolerated())
    }

    /// Returns the join times of VMs by failure domain, as far as these are known.
    fn join_times(&self, ids: impl Iterator<Item = VoterId>) -> IndexMap<&str, Vec<JoinTime>> {
        let mut times: IndexMap<_, Vec<_>> = IndexMap::new();
        for (id, domain) in ids.filter_map(|id| Some((id, self.domain(id)?))) {
            times.entry(domain).or_default().push(self.joined(id));
        }
        times
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
        let voters_near = |id| self.domain(id).and_then(|domain| voters.get(domain));
        let after = voters_near(change.fresh).unwrap_or(&0) + 1;
        (after < *voters_near(crowded)?).then_some(change)
    }

    /// Returns the change that moves a vote to a VM whose removal is less likely: so that fewer
    /// votes are missed after removals, or to a younger VM, which may be the successor. That is
    /// most likely in the same failure domain. Each such change lowers the missed votes or the
    /// age of the voters, so that these end.
    ///
    /// Among equals the leader, `own`, gives up its vote: it replaces lost votes of others at
    /// once, and its own removal costs the time of an election.
    fn renewing_change(
        &self,
        own: VoterId,
        members: &Members,
        candidates: &[VoterId],
    ) -> Option<VoterChange> {
        let missing = self.missing_votes(members, candidates);
        let least = self.best_spread(members, candidates);
        let misses_votes = least.is_some_and(|(_, least)| missing > least);
        let pairs = members
            .ids()
            .flat_map(|old| candidates.iter().map(move |fresh| (old, *fresh)));
        let renewals = pairs.filter_map(|(old, fresh)| {
            let is_younger = self.is_older(old, fresh);
            if !misses_votes && !is_younger {
                return None;
            }
            let (change, missing_after) = self.replacement(members, candidates, old, fresh)?;
            let is_better = missing_after < missing || missing_after == missing && is_younger;
            let rank = (
                missing_after,
                self.domain(old) != self.domain(fresh),
                self.joined(old),
                old != own,
                Reverse(self.joined(fresh)),
                (old, fresh),
            );
            is_better.then_some((rank, change))
        });
        let best = renewals.min_by_key(|(rank, _)| *rank);
        best.map(|(_, change)| change)
    }

    /// Returns the change that replaces the voter `old` by the standby `fresh`, with the votes
    /// that the voters then miss; nothing if the spread over domains would be lost.
    fn replacement(
        &self,
        members: &Members,
        candidates: &[VoterId],
        old: VoterId,
        fresh: VoterId,
    ) -> Option<(VoterChange, MissingVotes)> {
        let address = self.peers.get(&fresh)?.address;
        let left = members.without_voter(old);
        // Another process at the address of a live voter.
        let is_taken = left.iter().any(|(_, taken)| taken == address);
        let after = left.with_voter(fresh, address);
        let keeps_spread = self.domain(old) == self.domain(fresh) || self.is_spread(&after);
        if is_taken || !keeps_spread {
            return None;
        }
        let left_out = candidates.iter().copied().filter(|id| *id != fresh);
        let standbys: Vec<_> = left_out.chain([old]).collect();
        let change = VoterChange {
            lost: Some(old),
            fresh,
            address,
        };
        Some((change, self.missing_votes(&after, &standbys)))
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
        } else if self.best_spread(members, &candidates).is_some() {
            VoterSpread::Changing
        } else {
            VoterSpread::Unattainable
        }
    }

    /// Returns the number of voters for a number of control VMs: an odd one, as one more
    /// would add to the quorum and tolerate no further loss.
    fn voters_for(&self, vms: usize) -> usize {
        let odd = vms - usize::from(vms.is_multiple_of(2));
        let most = self.settings.max_voters.max(self.settings.min_voters);
        odd.clamp(self.settings.min_voters, most)
    }

    /// Returns the oldest voter of the failure domain with the most voters. It is the leader,
    /// `own`, only if the others there are younger.
    fn crowded_voter(&self, own: VoterId, members: &Members) -> Option<VoterId> {
        let in_domain_of = |id| {
            let near = members.ids().filter(|i| self.domain(*i) == self.domain(id));
            near.count()
        };
        let age = |id| (Reverse(self.joined(id)), id != own, id);
        members.ids().max_by_key(|id| (in_domain_of(*id), age(*id)))
    }

    /// Returns the failure domain of a VM, if it is known.
    fn domain(&self, id: VoterId) -> Option<&str> {
        self.peers.get(&id).map(|peer| &*peer.domain)
    }

    /// Returns when a VM joined the site.
    pub(super) fn joined(&self, id: VoterId) -> JoinTime {
        self.peers
            .get(&id)
            .map_or_else(|| join_time(id), |peer| peer.joined)
    }

    pub(super) fn is_older(&self, id: VoterId, other: VoterId) -> bool {
        is_older(self.joined(id), self.joined(other))
    }
}
