//! Chooses the owners of the buckets that this entry is the primary of.

use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;

use crate::flow_map::UpstreamMap;
use crate::rendezvous;
use crate::router::{BucketId, Router};
use crate::transfer::{Cause, Stage};
use crate::{BucketIndex, Phase};

/// Interval between two plans.
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the views of entries and upstreams must be unchanged before
/// unowned buckets are assigned or buckets are rebalanced. Buckets whose owner
/// accepts no new flows are moved without that delay.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Number of moves in progress from which no bucket is rebalanced.
const REBALANCE_MAX_TRANSFERS: usize = 2;

/// Minimum difference between two upstreams' distances from their quotas, in
/// buckets, for a rebalance between them. A smaller one would soon be moved
/// back.
const REBALANCE_MIN_DIFFERENCE: f64 = 2.0;

/// Maximum number of buckets that one plan moves from upstreams that could keep
/// them.
const REBALANCES_PER_PLAN: usize = 1;

/// Time after the join during which an owner that is missing from the view of
/// upstreams counts as present.
const UNKNOWN_OWNER_GRACE: Duration = Duration::from_secs(10);

/// Assigned buckets and quota of one upstream, among the buckets of this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    assigned: f64,
    quota: f64,
}

impl Router {
    /// Plans the owners of one service's buckets that this entry is the primary
    /// of.
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

    /// Returns the assigned buckets and the quota of each upstream that accepts
    /// buckets.
    fn shares(&self, now: Instant, t: usize) -> UpstreamMap<Share> {
        let id = self.tables[t].id;
        let eligible = |status: &&crate::upstream_status::UpstreamStatus| {
            status.service == id && status.accepts_buckets()
        };
        let weights: Vec<(UpstreamId, f64)> = self
            .upstreams
            .iter()
            .filter(|(_, status)| eligible(status))
            .map(|(id, status)| (*id, status.weight(now)))
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

    /// Returns the buckets that are unowned, or stable at an owner that accepts
    /// no new flows.
    fn buckets_without_owner(&self, now: Instant, t: usize) -> Vec<BucketId> {
        let lacks_owner = |phase: Phase| match phase {
            Phase::Unowned => true,
            Phase::Stable { owner } => !self.is_valid_owner(now, owner),
            Phase::Moving { .. } => false,
        };
        let bucket_ids = (0..self.tables[t].buckets.len()).map(|i| (t, i as BucketIndex));
        bucket_ids
            .filter(|bucket_id| self.is_movable(*bucket_id))
            .filter(|(t, i)| lacks_owner(self.tables[*t].buckets[usize::from(*i)].phase))
            .collect()
    }

    /// Returns the buckets that are moving to an upstream that accepts no new
    /// flows any more.
    fn transfers_to_unavailable(&self, now: Instant, t: usize) -> Vec<BucketId> {
        let of_service = self.transfers.iter().filter(|((of, _), _)| *of == t);
        of_service
            .filter(|(_, transfer)| transfer.stage < Stage::Committing)
            .filter(|(_, transfer)| !self.is_valid_owner(now, transfer.to))
            .map(|(bucket_id, _)| *bucket_id)
            .collect()
    }

    /// Restarts a move towards another upstream.
    fn redirect(&mut self, now: Instant, bucket_id: BucketId, to: UpstreamId) {
        let Some(transfer) = self.transfers.get(&bucket_id) else {
            return;
        };
        // Only planned moves are redirected: in a takeover or merge, the
        // upstreams of some flows may still be undetermined.
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

    fn is_valid_owner(&self, now: Instant, owner: UpstreamId) -> bool {
        match self.upstreams.get(&owner) {
            Some(status) => status.accepts_buckets(),
            None => !self.gone.contains(&owner) && now < self.sync.done_at() + UNKNOWN_OWNER_GRACE,
        }
    }

    /// Moves a few buckets from upstreams above their quota to upstreams below
    /// it.
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
        // Prefers the bucket with the fewest flows to pin.
        let (_, bucket_id) = owned.min()?;
        Some((bucket_id, *most, *least))
    }
}

/// Returns the upstream with the largest shortage. Ties are broken by
/// rendezvous hashing.
fn furthest_below_quota(shares: &UpstreamMap<Share>, (_, index): BucketId) -> Option<UpstreamId> {
    let shortage = |share: &Share| share.quota - share.assigned;
    let tie_break = |id| rendezvous::weight(u64::from(index), id);
    let ascending = |a: &(&UpstreamId, &Share), b: &(&UpstreamId, &Share)| {
        let by_shortage = shortage(a.1).total_cmp(&shortage(b.1));
        by_shortage.then_with(|| tie_break(*a.0).cmp(&tie_break(*b.0)))
    };
    shares.iter().max_by(ascending).map(|(id, _)| *id)
}
