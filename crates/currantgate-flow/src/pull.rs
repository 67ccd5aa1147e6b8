//! Fetches buckets from other entries, and has primaries merge what differs.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use currantgate_membership::EntryStage;
use currantgate_packet::FlowHash;
use indexmap::IndexSet;

use crate::pin::{self, Pin, PinGroup};
use crate::router::{BucketId, Router};
use crate::transfer::Cause;
use crate::{Phase, Version};

/// Time until an unanswered pull is sent again.
pub(crate) const PULL_RETRY: Duration = Duration::from_millis(1_000);

/// A bucket's state that is being fetched from another entry.
#[derive(Debug)]
pub(crate) struct Pull {
    /// The entry that the state is fetched from.
    pub(crate) donor: EntryId,
    /// The version and phase that the received pins belong to.
    pub(crate) state: Option<(Version, Phase)>,
    /// The pins received so far, in ascending order of hash.
    pub(crate) pins: Vec<Pin>,
    /// The instant at which the next part is requested.
    pub(crate) send_at: Instant,
}

impl Pull {
    /// Returns the highest flow hash received so far.
    pub(crate) fn after(&self) -> Option<FlowHash> {
        self.pins.last().map(|(hash, _)| *hash)
    }
}

impl Router {
    /// Starts to fetch a bucket's state from another entry.
    pub(crate) fn pull(&mut self, now: Instant, donor: EntryId, bucket_id: BucketId) {
        self.send_at = now;
        self.sync.note_pull();
        let donor = if self.sync.is_done() {
            donor
        } else {
            self.choose_donor(donor, bucket_id)
        };
        self.pulls.entry(bucket_id).or_insert_with(|| Pull {
            donor,
            state: None,
            pins: Vec::new(),
            send_at: now,
        });
    }

    /// Returns the entry to fetch from: the pulls of a joining entry are spread
    /// over all serving entries.
    pub(crate) fn choose_donor(&self, donor: EntryId, bucket_id: BucketId) -> EntryId {
        let serving = self
            .entries
            .iter()
            .filter(|(id, stage)| **stage == EntryStage::Serving && **id != self.settings.id);
        let serving: Vec<_> = serving.map(|(id, _)| *id).collect();
        let i = usize::from(bucket_id.1) % serving.len().max(1);
        serving.get(i).copied().unwrap_or(donor)
    }

    /// Queues a part of a bucket's state for the entry that requested it.
    pub(crate) fn handle_pull(
        &mut self,
        to: EntryId,
        bucket_id: BucketId,
        after: Option<FlowHash>,
    ) {
        self.state_requests.insert((to, bucket_id), after);
    }

    /// Handles a part of a bucket's state.
    pub(crate) fn handle_state(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        (version, phase): (Version, Phase),
        (after, has_more, flows): (Option<FlowHash>, bool, &[PinGroup]),
    ) {
        let own = self.bucket_mut(bucket_id).rank();
        let Some(pull) = self.pulls.get_mut(&bucket_id) else {
            return;
        };
        if pull.donor != from || pull.after() != after {
            return;
        }
        if (version, phase.is_stable()) <= own {
            self.pulls.swap_remove(&bucket_id);
            return;
        }
        if pull.state.is_some_and(|state| state != (version, phase)) {
            // The bucket has changed during the pull, so its pins are requested
            // again.
            pull.state = None;
            pull.pins.clear();
            pull.send_at = now;
            self.send_at = now;
            return;
        }
        pull.state = Some((version, phase));
        let mut pins: Vec<_> = pin::ungroup(flows).collect();
        pins.sort_unstable();
        pull.pins.extend(pins);
        pull.send_at = now;
        self.send_at = now;
        if !has_more && let Some(pull) = self.pulls.swap_remove(&bucket_id) {
            self.adopt(now, bucket_id, (version, phase), &pull.pins);
        }
    }

    /// Adopts a state that other entries reached without this one.
    pub(crate) fn adopt(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        (version, phase): (Version, Phase),
        pins: &[Pin],
    ) {
        let before = self.bucket_mut(bucket_id).phase;
        self.transfers.swap_remove(&bucket_id);
        for (hash, upstream) in pins {
            let table = &mut self.tables[bucket_id.0];
            if table.index(*hash) == bucket_id.1 {
                table.pin(now, *hash, *upstream);
            }
        }
        let bucket = self.bucket_mut(bucket_id);
        let pinned: IndexSet<_> = pins.iter().map(|(hash, _)| *hash).collect();
        let strays = bucket.flows.iter().any(|(hash, record)| {
            Some(record.upstream) != phase.target() && !pinned.contains(hash)
        });
        bucket.adopt(version, phase);
        if let Some(received) = &mut bucket.received {
            received.lacks_base = true;
        }
        bucket.clear_pinned();
        for hash in &pinned {
            if let Some(record) = bucket.flows.get_mut(hash) {
                record.state.pinned = true;
            }
        }
        // After a network partition, flows recorded only on this side must be
        // pinned on all entries.
        if strays && before != Phase::Unowned && phase.is_stable() {
            self.merge_requests.insert(bucket_id, now);
        }
        if matches!(phase, Phase::Moving { .. }) {
            self.plan_at = now;
        }
    }

    /// Starts to merge the records of a bucket, if this entry is its primary.
    pub(crate) fn handle_merge_request(&mut self, now: Instant, bucket_id: BucketId) {
        let phase = self.bucket_mut(bucket_id).phase;
        let Phase::Stable { owner } = phase else {
            return;
        };
        let is_busy =
            self.transfers.contains_key(&bucket_id) || self.pulls.contains_key(&bucket_id);
        if self.is_primary(bucket_id) && !is_busy {
            self.merge(now, bucket_id, owner);
        }
    }

    /// Starts a move of a bucket to its own owner, which merges the records of
    /// all entries.
    pub(crate) fn merge(&mut self, now: Instant, bucket_id: BucketId, owner: UpstreamId) {
        self.merge_requests.swap_remove(&bucket_id);
        self.start_move(now, bucket_id, (owner, owner), Cause::Merge);
    }

    /// Starts the requested merges of buckets that this entry is the primary
    /// of.
    pub(crate) fn merge_requested(&mut self, now: Instant) {
        let bucket_ids: Vec<_> = self.merge_requests.keys().copied().collect();
        for bucket_id in bucket_ids {
            if self.is_primary(bucket_id) {
                self.handle_merge_request(now, bucket_id);
            }
        }
    }
}
