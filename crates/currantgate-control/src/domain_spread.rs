//! The number of voters, and their spread over failure domains, of which a quorum outlasts what
//! the site tolerates.
//!
//! Two kinds of losses come together: failures, as many VMs or failure domains as the site
//! tolerates, and removals, of any VMs whose successors run. A removal is no failure, so that
//! a quorum must be left when all of them happen at once.

use std::cmp::Reverse;
use std::ops::RangeInclusive;

use crate::join_time::{JoinTime, is_older};

/// The failures that a site tolerates at the same time: VMs or failure domains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tolerated {
    pub(crate) vms: usize,
    pub(crate) domains: usize,
}

/// The control VMs of a failure domain, of which some vote.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainVms {
    /// The join times of the VMs that vote.
    voters: Vec<JoinTime>,
    /// The join times of the others, the youngest last.
    standbys: Vec<JoinTime>,
}

/// How many votes are short of a quorum after tolerated failures and removals; 0 is none. The
/// least one is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MissingVotes {
    /// With removals of VMs that have a successor in their own domain.
    by_domain: usize,
    /// With removals of VMs that have a successor in any domain. Often no voters outlast them.
    anywhere: usize,
}

/// Returns whether a quorum of the voters outlasts the loss of any `lost` failure domains.
/// `voters` has the number of voters of each domain.
pub(crate) fn outlasts_loss(voters: &[usize], lost: usize) -> bool {
    let count: usize = voters.iter().sum();
    let spare = count.saturating_sub(1) / 2;
    let mut largest = voters.to_vec();
    largest.sort_unstable_by(|a, b| b.cmp(a));
    largest.iter().take(lost).sum::<usize>() <= spare
}

/// Returns the best odd number of voters in `range` of which a quorum can outlast the loss of
/// the tolerated domains, with the votes that they miss, or `None` if no number can. It is the
/// largest of those that miss the fewest votes. `vms` has the join times of the VMs of each
/// domain.
pub(crate) fn best_spread(
    vms: &[Vec<JoinTime>],
    tolerated: Tolerated,
    range: RangeInclusive<usize>,
) -> Option<(usize, MissingVotes)> {
    let candidates = range.filter(|voters| !voters.is_multiple_of(2));
    let spread = candidates.filter_map(|count| {
        let domains = fill_evenly(vms, count)?;
        let voters: Vec<_> = domains.iter().map(|domain| domain.voters.len()).collect();
        let is_spread = outlasts_loss(&voters, tolerated.domains);
        is_spread.then(|| (count, missing_votes(&domains, tolerated)))
    });
    spread.min_by_key(|(count, missing)| (*missing, Reverse(*count)))
}

/// Returns the most even distribution of `count` voters, which has the smallest sums of the
/// largest domains, or `None` if there are fewer VMs. The youngest VMs of a domain vote, and
/// among domains with as many voters those where fewer votes can be removed.
fn fill_evenly(vms: &[Vec<JoinTime>], count: usize) -> Option<Vec<DomainVms>> {
    let mut domains: Vec<_> = vms
        .iter()
        .map(|vms| DomainVms::without_voters(vms))
        .collect();
    for _ in 0..count {
        let has_standby = domains.iter_mut().filter(|d| !d.standbys.is_empty());
        let emptiest = has_standby.min_by_key(|domain| {
            let next = domain.standbys.last().copied();
            (
                domain.voters.len(),
                domain.removable_votes_with_next(),
                Reverse(next),
            )
        })?;
        emptiest.voters.extend(emptiest.standbys.pop());
    }
    Some(domains)
}

/// Returns how many votes of the voters in `domains` are short of a quorum after the losses
/// that the site has to outlast.
pub(crate) fn missing_votes(domains: &[DomainVms], tolerated: Tolerated) -> MissingVotes {
    let votes: usize = domains.iter().map(|domain| domain.voters.len()).sum();
    let spare = votes.saturating_sub(1) / 2;
    let removed: usize = domains.iter().map(DomainVms::removable_votes).sum();
    // What the loss of a domain costs beyond the removals in it.
    let mut left: Vec<_> = domains
        .iter()
        .map(|domain| domain.voters.len() - domain.removable_votes())
        .collect();
    left.sort_unstable_by(|a, b| b.cmp(a));
    let lost_with_domains: usize = left.iter().take(tolerated.domains).sum();
    let lost = tolerated.vms.max(lost_with_domains);
    let whole_site = DomainVms {
        voters: domains.iter().flat_map(|d| d.voters.clone()).collect(),
        standbys: domains.iter().flat_map(|d| d.standbys.clone()).collect(),
    };
    MissingVotes {
        by_domain: (removed + lost).saturating_sub(spare),
        anywhere: (whole_site.removable_votes() + tolerated.vms).saturating_sub(spare),
    }
}

impl DomainVms {
    /// Returns a domain with the given voters and standbys.
    pub(crate) fn new(voters: Vec<JoinTime>, mut standbys: Vec<JoinTime>) -> Self {
        standbys.sort_unstable();
        Self { voters, standbys }
    }

    fn without_voters(vms: &[JoinTime]) -> Self {
        Self::new(Vec::new(), vms.to_vec())
    }

    /// Returns the number of votes that are lost when VMs whose successors are in this domain
    /// are removed: as many as have joined since the oldest one, of those that are older than
    /// another one.
    fn removable_votes(&self) -> usize {
        self.removable_votes_with(None)
    }

    /// Returns [`Self::removable_votes`] for the case that the youngest standby votes as well.
    fn removable_votes_with_next(&self) -> usize {
        self.removable_votes_with(self.standbys.last())
    }

    fn removable_votes_with(&self, next_voter: Option<&JoinTime>) -> usize {
        let vms = || self.voters.iter().chain(&self.standbys).copied();
        let (Some(oldest), Some(youngest)) = (vms().min(), vms().max()) else {
            return 0;
        };
        let successors = vms().filter(|vm| is_older(oldest, *vm)).count();
        let voters = self.voters.iter().chain(next_voter);
        let old_voters = voters.filter(|vm| is_older(**vm, youngest));
        successors.min(old_voters.count())
    }
}
