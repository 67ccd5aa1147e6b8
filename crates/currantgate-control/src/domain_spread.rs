//! The spread of voters over failure domains.

use std::ops::RangeInclusive;

/// Returns whether a quorum of the voters outlasts the loss of any `lost` failure domains.
/// `voters` has the number of voters of each domain.
pub(crate) fn outlasts_loss(voters: &[usize], lost: usize) -> bool {
    let count: usize = voters.iter().sum();
    let spare = count.saturating_sub(1) / 2;
    let mut largest = voters.to_vec();
    largest.sort_unstable_by(|a, b| b.cmp(a));
    largest.iter().take(lost).sum::<usize>() <= spare
}

/// Returns the largest odd number of voters in `range` of which a quorum can outlast the loss
/// of any `lost` failure domains, or `None` if no number can. `vms` has the number of control
/// VMs of each domain.
pub(crate) fn largest_spread(
    vms: &[usize],
    lost: usize,
    range: RangeInclusive<usize>,
) -> Option<usize> {
    let candidates = range.rev().filter(|voters| !voters.is_multiple_of(2));
    let mut spread = candidates.filter_map(|count| Some((count, fill_evenly(vms, count)?)));
    let found = spread.find(|(_, voters)| outlasts_loss(voters, lost));
    found.map(|(count, _)| count)
}

/// Returns the most even distribution of `count` voters, which has the smallest sums of the
/// largest domains, or `None` if there are fewer VMs.
fn fill_evenly(vms: &[usize], count: usize) -> Option<Vec<usize>> {
    let mut voters = vec![0; vms.len()];
    for _ in 0..count {
        let has_spare = |domain: &usize| voters[*domain] < vms[*domain];
        let emptiest = (0..vms.len())
            .filter(has_spare)
            .min_by_key(|d| voters[*d])?;
        voters[emptiest] += 1;
    }
    Some(voters)
}
