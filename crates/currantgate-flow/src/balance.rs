//! Chooses the owners of the buckets that this entry keeps.

use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;

use crate::flow_map::UpstreamMap;
use crate::rendezvous;
use crate::router::{BucketId, Router};
use crate::transfer::{Cause, Stage};
use crate::{BucketIndex, Phase};

/// Time between two looks at the shares.
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the views of entries and upstreams must rest before buckets
/// are given out that no flow waits for.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Moves in progress above which no bucket is moved that could stay.
const REBALANCE_MAX_TRANSFERS: usize = 2;

/// Buckets by which two upstreams' distances from their quotas must differ
/// before one is moved between them: less would move it back soon.
const REBALANCE_MIN_DIFFERENCE: f64 = 2.0;

/// Buckets that one look may move from an upstream that could keep them.
const REBALANCES_PER_PLAN: usize = 1;

/// Time after the join within which an owner that this entry has not heard
/// of is taken to be there.
const UNKNOWN_OWNER_GRACE: Duration = Duration::from_secs(10);

/// What each upstream has and should have of this entry's buckets.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    assigned: f64,
    quota: f64,
}

impl Router {
    /// Gives the buckets of one service that this entry keeps to upstreams.
    pub(crate) fn plan(&mut self, now: Instant, t: usize) {
        if !self.sync.is_done() {
            return;
        }
        self.take_over_moves(now, t);
        self.merge_requested(now);
        let mut shares = self.shares(now, t);
        if shares.is_empty() {
            return;
        }
        for id in self.transfers_to_unavailable(now, t) {
            let Some(to) = furthest_below_quota(&shares, id) else {
                break;
            };
            shares[&to].assigned += 1.0;
            self.redirect(now, id, to);
        }
        let is_settled = now >= self.view_changed_at + SETTLE_TIME;
        for id in self.buckets_without_owner(now, t) {
            if !is_settled && self.bucket_mut(id).phase == Phase::Unowned {
                continue;
            }
            let Some(to) = furthest_below_quota(&shares, id) else {
                break;
            };
            shares[&to].assigned += 1.0;
            match self.bucket_mut(id).phase {
                Phase::Unowned => self.assign(now, id, to),
                Phase::Stable { owner } => self.start_move(now, id, (owner, to), Cause::Planned),
                Phase::Moving { .. } => {}
            }
        }
        if is_settled && self.transfers.len() < REBALANCE_MAX_TRANSFERS && self.pulls.is_empty() {
            self.rebalance(now, t, &mut shares);
        }
    }

    /// Returns what each upstream has and should have.
    fn shares(&self, now: Instant, t: usize) -> UpstreamMap<Share> {
        let id = self.tables[t].id;
        let eligible = |known: &&crate::upstream_status::UpstreamStatus| {
            known.service == id && known.accepts_buckets()
        };
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
        let weights = self.corrected_weights(now, t, weights);
        let mut bucket_count = 0.0;
        for (index, bucket) in self.tables[t].buckets.iter().enumerate() {
            if !self.is_primary((t, index as BucketIndex)) {
                continue;
            }
            bucket_count += 1.0;
            if let Some(share) = bucket.phase.target().and_then(|id| shares.get_mut(&id)) {
                share.assigned += 1.0;
            }
        }
        let sum: f64 = weights.iter().map(|(_, weight)| weight).sum();
        for (id, weight) in weights {
            shares[&id].quota = bucket_count * weight / sum;
        }
        shares
    }

    /// Returns the buckets at rest whose owner gets no new flows.
    fn buckets_without_owner(&self, now: Instant, t: usize) -> Vec<BucketId> {
        let lacks_owner = |phase: Phase| match phase {
            Phase::Unowned => true,
            Phase::Stable { owner } => !self.may_own(now, owner),
            Phase::Moving { .. } => false,
        };
        let bucket_ids = (0..self.tables[t].buckets.len()).map(|i| (t, i as BucketIndex));
        bucket_ids
            .filter(|bucket_id| self.is_movable(*bucket_id))
            .filter(|(t, i)| lacks_owner(self.tables[*t].buckets[usize::from(*i)].phase))
            .collect()
    }

    /// Returns the buckets on their way to an upstream that gets no new flows
    /// any more.
    fn transfers_to_unavailable(&self, now: Instant, t: usize) -> Vec<BucketId> {
        let of_service = self.transfers.iter().filter(|((of, _), _)| *of == t);
        of_service
            .filter(|(_, transfer)| transfer.stage < Stage::Committing)
            .filter(|(_, transfer)| !self.may_own(now, transfer.to))
            .map(|(bucket_id, _)| *bucket_id)
            .collect()
    }

    /// Begins a move anew, to another upstream.
    fn redirect(&mut self, now: Instant, bucket_id: BucketId, to: UpstreamId) {
        let Some(transfer) = self.transfers.get(&bucket_id) else {
            return;
        };
        // What is unsure about the bucket's flows so far stays so.
        let (from, cause) = (transfer.from, transfer.cause);
        if cause == Cause::Planned {
            self.start_move(now, bucket_id, (from, to), cause);
        }
    }

    fn is_movable(&self, bucket_id: BucketId) -> bool {
        let is_busy = self.transfers.contains_key(&bucket_id)
            || self.pulls.contains_key(&bucket_id)
            || self.merge_requests.contains_key(&bucket_id);
        self.is_primary(bucket_id) && !is_busy
    }

    fn may_own(&self, now: Instant, owner: UpstreamId) -> bool {
        match self.upstreams.get(&owner) {
            Some(known) => known.accepts_buckets(),
            None => !self.gone.contains(&owner) && now < self.sync.done_at() + UNKNOWN_OWNER_GRACE,
        }
    }

    /// Moves a few buckets from upstreams that have too many.
    fn rebalance(&mut self, now: Instant, t: usize, shares: &mut UpstreamMap<Share>) {
        for _ in 0..REBALANCES_PER_PLAN {
            let Some((bucket_id, from, to)) = self.rebalance_candidate(t, shares) else {
                return;
            };
            shares[&from].assigned -= 1.0;
            shares[&to].assigned += 1.0;
            self.start_move(now, bucket_id, (from, to), Cause::Planned);
        }
    }

    fn rebalance_candidate(
        &self,
        t: usize,
        shares: &UpstreamMap<Share>,
    ) -> Option<(BucketId, UpstreamId, UpstreamId)> {
        let surplus = |id: &UpstreamId| shares.get(id).map_or(0.0, |s| s.assigned - s.quota);
        let most = shares
            .keys()
            .max_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        let least = shares
            .keys()
            .min_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        if surplus(most) - surplus(least) < REBALANCE_MIN_DIFFERENCE {
            return None;
        }
        let bucket_ids = (0..self.tables[t].buckets.len()).map(|i| (t, i as BucketIndex));
        let movable = bucket_ids.filter(|bucket_id| self.is_movable(*bucket_id));
        let owned = movable.filter_map(|bucket_id| {
            let bucket = &self.tables[t].buckets[usize::from(bucket_id.1)];
            match bucket.phase {
                Phase::Stable { owner } if owner == *most => {
                    Some((bucket.count_unpinned(owner), bucket_id))
                }
                _ => None,
            }
        });
        // The fewer flows the others must be told, the better.
        let (_, bucket_id) = owned.min()?;
        Some((bucket_id, *most, *least))
    }
}

/// Returns the upstream that lacks most.
fn furthest_below_quota(shares: &UpstreamMap<Share>, (_, index): BucketId) -> Option<UpstreamId> {
    let shortage = |share: &Share| share.quota - share.assigned;
    let tie = |id| rendezvous::weight(u64::from(index), id);
    let order = |a: &(&UpstreamId, &Share), b: &(&UpstreamId, &Share)| {
        let by_shortage = shortage(a.1).total_cmp(&shortage(b.1));
        by_shortage.then_with(|| tie(*a.0).cmp(&tie(*b.0)))
    };
    shares.iter().max_by(order).map(|(id, _)| *id)
}
