//! Chooses the owners of the buckets that this entry keeps.

use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;

use crate::flow_map::UpstreamMap;
use crate::rendezvous;
use crate::router::{Place, Router};
use crate::transfer::{Cause, Stage};
use crate::{BucketIndex, Phase};

/// Time between two looks at the shares.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the views of entries and upstreams must rest before buckets
/// are given out that no flow waits for.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// Moves in progress above which no bucket is moved that could stay.
const MAX_BUSY: usize = 8;

/// Buckets that one look may move from an upstream that could keep them.
const MAX_VOLUNTARY: usize = 2;

/// Time after the join within which an owner that this entry has not heard
/// of is taken to be there.
const HEARSAY_TIME: Duration = Duration::from_secs(10);

/// What each upstream has and should have of this entry's buckets.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    has: i64,
    quota: i64,
}

impl Router {
    /// Gives the buckets of one service that this entry keeps to upstreams.
    pub(crate) fn plan(&mut self, now: Instant, t: usize) {
        self.plan_at = now + PLAN_INTERVAL;
        if !self.sync.is_done() {
            return;
        }
        self.take_over(now, t);
        self.reopen_own(now);
        let mut shares = self.shares(now, t);
        if shares.is_empty() {
            return;
        }
        for place in self.misdirected(now, t) {
            let Some(to) = neediest(&shares, place) else {
                break;
            };
            shares[&to].has += 1;
            self.redirect(now, place, to);
        }
        let is_quiet = now >= self.changed_at + QUIET_TIME;
        for place in self.homeless(now, t) {
            if !is_quiet && self.bucket_mut(place).phase == Phase::Unowned {
                continue;
            }
            let Some(to) = neediest(&shares, place) else {
                break;
            };
            shares[&to].has += 1;
            match self.bucket_mut(place).phase {
                Phase::Unowned => self.assign(now, place, to),
                Phase::Stable { owner } => self.start_move(now, place, (owner, to), Cause::Plan),
                Phase::Moving { .. } => {}
            }
        }
        if is_quiet && self.transfers.len() < MAX_BUSY && self.pulls.is_empty() {
            self.even_out(now, t, &mut shares);
        }
    }

    /// Returns what each upstream has and should have.
    fn shares(&self, now: Instant, t: usize) -> UpstreamMap<Share> {
        let id = self.tables[t].id;
        let eligible = |known: &&crate::known::Known| known.service == id && known.takes_buckets();
        let weights: Vec<(UpstreamId, f64)> = self
            .upstreams
            .iter()
            .filter(|(_, known)| eligible(known))
            .map(|(id, known)| (*id, known.weight(now)))
            .collect();
        let mut shares: UpstreamMap<Share> = weights
            .iter()
            .map(|(id, _)| (*id, Share::default()))
            .collect();
        let mut own = 0;
        for (index, bucket) in self.tables[t].buckets.iter().enumerate() {
            if !self.keeps((t, index as BucketIndex)) {
                continue;
            }
            own += 1;
            if let Some(share) = bucket.phase.target().and_then(|id| shares.get_mut(&id)) {
                share.has += 1;
            }
        }
        let seed = u64::from(id) << 32 | u64::from(self.settings.id);
        for (id, quota) in quotas(own, &weights, seed) {
            shares[&id].quota = quota;
        }
        shares
    }

    /// Returns the buckets at rest whose owner gets no new flows.
    fn homeless(&self, now: Instant, t: usize) -> Vec<Place> {
        let is_homeless = |phase: Phase| match phase {
            Phase::Unowned => true,
            Phase::Stable { owner } => !self.may_own(now, owner),
            Phase::Moving { .. } => false,
        };
        let places = (0..self.tables[t].buckets.len()).map(|i| (t, i as BucketIndex));
        places
            .filter(|place| self.may_plan(*place))
            .filter(|(t, i)| is_homeless(self.tables[*t].buckets[usize::from(*i)].phase))
            .collect()
    }

    /// Returns the buckets on their way to an upstream that gets no new flows
    /// any more.
    fn misdirected(&self, now: Instant, t: usize) -> Vec<Place> {
        let own = self.transfers.iter().filter(|((of, _), _)| *of == t);
        own.filter(|(_, transfer)| transfer.stage < Stage::Committing)
            .filter(|(_, transfer)| !self.may_own(now, transfer.to))
            .map(|(place, _)| *place)
            .collect()
    }

    /// Begins a move anew, to another upstream.
    fn redirect(&mut self, now: Instant, place: Place, to: UpstreamId) {
        let Some(transfer) = self.transfers.get(&place) else {
            return;
        };
        // What is unsure about the bucket's flows so far stays so.
        let (from, cause) = (transfer.from, transfer.cause);
        if cause == Cause::Plan {
            self.start_move(now, place, (from, to), cause);
        }
    }

    fn may_plan(&self, place: Place) -> bool {
        let is_busy = self.transfers.contains_key(&place)
            || self.pulls.contains_key(&place)
            || self.reopens.contains_key(&place);
        self.keeps(place) && !is_busy
    }

    fn may_own(&self, now: Instant, owner: UpstreamId) -> bool {
        match self.upstreams.get(&owner) {
            Some(known) => known.takes_buckets(),
            None => !self.gone.contains(&owner) && now < self.sync.done_at() + HEARSAY_TIME,
        }
    }

    /// Moves a few buckets from upstreams that have too many.
    fn even_out(&mut self, now: Instant, t: usize, shares: &mut UpstreamMap<Share>) {
        for _ in 0..MAX_VOLUNTARY {
            let Some((place, from, to)) = self.excess(t, shares) else {
                return;
            };
            shares[&from].has -= 1;
            shares[&to].has += 1;
            self.start_move(now, place, (from, to), Cause::Plan);
        }
    }

    fn excess(
        &self,
        t: usize,
        shares: &UpstreamMap<Share>,
    ) -> Option<(Place, UpstreamId, UpstreamId)> {
        let over = |id: &UpstreamId| shares.get(id).map_or(0, |s| s.has - s.quota);
        let places = (0..self.tables[t].buckets.len()).map(|i| (t, i as BucketIndex));
        let movable = places.filter(|place| self.may_plan(*place));
        let owned = movable.filter_map(|place| {
            let bucket = &self.tables[t].buckets[usize::from(place.1)];
            match bucket.phase {
                Phase::Stable { owner } if over(&owner) > 0 => {
                    Some((bucket.count_unpinned(owner), place, owner))
                }
                _ => None,
            }
        });
        // The fewer flows the others must be told, the better.
        let (_, place, from) = owned.min_by_key(|(flows, _, owner)| (*flows, -over(owner)))?;
        let to = neediest(shares, place)?;
        (over(&to) < 0).then_some((place, from, to))
    }
}

/// Returns the upstream that lacks most.
fn neediest(shares: &UpstreamMap<Share>, (_, index): Place) -> Option<UpstreamId> {
    let lack = |(id, share): &(&UpstreamId, &Share)| {
        let tie = rendezvous::weight(u64::from(index), **id);
        (share.quota - share.has, tie)
    };
    shares.iter().max_by_key(lack).map(|(id, _)| *id)
}

/// Divides `count` by weight; whole parts first, the rest by largest
/// remainder, equal remainders by a rank that differs from entry to entry.
fn quotas(count: i64, weights: &[(UpstreamId, f64)], seed: u64) -> Vec<(UpstreamId, i64)> {
    let sum: f64 = weights.iter().map(|(_, w)| w).sum();
    let mut parts: Vec<_> = weights
        .iter()
        .map(|(id, weight)| {
            let exact = count as f64 * weight / sum;
            let whole = exact.floor();
            (*id, whole as i64, exact - whole)
        })
        .collect();
    let left = count - parts.iter().map(|(_, whole, _)| whole).sum::<i64>();
    parts.sort_by(|a, b| {
        let rank = |id| rendezvous::weight(seed, id);
        b.2.total_cmp(&a.2).then_with(|| rank(a.0).cmp(&rank(b.0)))
    });
    let part = |(i, (id, whole, _)): (usize, &(UpstreamId, i64, f64))| {
        (*id, whole + i64::from((i as i64) < left))
    };
    parts.iter().enumerate().map(part).collect()
}
