//! Moves buckets between upstreams: the coordinator's side of the protocol.

use std::time::Instant;

use currantgate_config::{EntryId, UpstreamId};

use crate::pin::{self, PinGroup};
use crate::router::{BucketId, Router};
use crate::transfer::{Cause, Progress, Stage, Transfer};
use crate::{Phase, Version};

impl Router {
    /// Assigns an unowned bucket to its first owner.
    pub(crate) fn assign(&mut self, now: Instant, bucket_id: BucketId, owner: UpstreamId) {
        let me = self.settings.id;
        let peers = self.live_peers();
        let bucket = self.bucket_mut(bucket_id);
        let base = bucket.version;
        bucket.adopt(base.next(me), Phase::Stable { owner });
        let endpoints = (owner, owner);
        let mut transfer = Transfer::new(now, base, endpoints, Cause::Planned, peers.into_iter());
        transfer.stage = Stage::Committing;
        self.transfers.insert(bucket_id, transfer);
        self.advance(now, bucket_id);
    }

    /// Starts to move a bucket that has an owner.
    pub(crate) fn start_move(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        (from, to): (UpstreamId, UpstreamId),
        cause: Cause,
    ) {
        let me = self.settings.id;
        let peers = self.live_peers();
        let bucket = self.bucket_mut(bucket_id);
        let base = bucket.version;
        bucket.adopt(base.next(me), Phase::Moving { from, to });
        let transfer = Transfer::new(now, base, (from, to), cause, peers.into_iter());
        self.transfers.insert(bucket_id, transfer);
        self.advance(now, bucket_id);
    }

    /// Advances a move through every stage whose condition is met.
    pub(crate) fn advance(&mut self, now: Instant, bucket_id: BucketId) {
        self.send_at = now;
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        if transfer.stage == Stage::Preparing && transfer.all_prepared() {
            self.begin_pinning(now, bucket_id);
        }
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        if transfer.stage == Stage::Pinning && transfer.all_pinned() {
            transfer.stage = Stage::Committing;
            let owner = transfer.to;
            for progress in transfer.peers.values_mut() {
                progress.on_progress(now);
            }
            let bucket = self.bucket_mut(bucket_id);
            bucket.adopt(bucket.version, Phase::Stable { owner });
            bucket.mark_pinned();
        }
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        if transfer.stage == Stage::Committing && transfer.all_committed() {
            self.transfers.swap_remove(&bucket_id);
        }
    }

    fn begin_pinning(&mut self, now: Instant, bucket_id: BucketId) {
        if let Some(transfer) = self.transfers.get_mut(&bucket_id) {
            transfer.stage = Stage::Pinning;
            for progress in transfer.peers.values_mut() {
                progress.on_progress(now);
            }
        }
        self.list_pins(now, bucket_id);
    }

    /// Lists the flows that the other entries must record before the commit.
    fn list_pins(&mut self, now: Instant, bucket_id: BucketId) {
        let bucket = &self.tables[bucket_id.0].buckets[usize::from(bucket_id.1)];
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        let pins = if transfer.lists_all_flows() {
            bucket.pins()
        } else {
            bucket.unpinned(transfer.from)
        };
        for (hash, upstream) in pins {
            self.tables[bucket_id.0].pin(now, hash, upstream);
            if upstream != transfer.to || transfer.restarted.contains(&hash) {
                transfer.add(now, hash, upstream);
            }
        }
    }

    /// Handles the acknowledgement that an entry has marked a bucket as moving.
    pub(crate) fn handle_prepared(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        (already_committed, lacks_base): (bool, bool),
    ) {
        let Some(progress) = self.progress_mut(bucket_id, from) else {
            return;
        };
        if !progress.prepared {
            progress.prepared = true;
            progress.on_progress(now);
        }
        if let Some(transfer) = self.transfers.get_mut(&bucket_id) {
            transfer.already_committed |= already_committed;
            let base_newly_missing = lacks_base && !transfer.base_is_missing;
            transfer.base_is_missing |= lacks_base;
            if base_newly_missing && transfer.stage == Stage::Pinning {
                self.list_pins(now, bucket_id);
            }
        }
        self.advance(now, bucket_id);
    }

    /// Handles an entry's count of the pins that it has received, and the flows
    /// that only it has recorded.
    pub(crate) fn handle_pins_received(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        (received, extras_total, offset): (u32, Option<u32>, u32),
        flows: &[PinGroup],
    ) {
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        if transfer.stage != Stage::Pinning {
            return;
        }
        let total = transfer.pins.len() as u32;
        let Some(progress) = transfer.peers.get_mut(&from) else {
            return;
        };
        let before = (
            progress.received,
            progress.extras_total,
            progress.extras_received,
        );
        progress.received = progress.received.max(received.min(total));
        progress.extras_total = extras_total.or(progress.extras_total);
        let is_next = offset == progress.extras_received && progress.extras_total.is_some();
        let flows: Vec<_> = if is_next {
            pin::ungroup(flows).collect()
        } else {
            Vec::new()
        };
        progress.extras_received += flows.len() as u32;
        if before
            != (
                progress.received,
                progress.extras_total,
                progress.extras_received,
            )
        {
            progress.on_progress(now);
        }
        for (hash, upstream) in flows {
            self.add_extra(now, bucket_id, hash, upstream);
        }
        self.advance(now, bucket_id);
    }

    fn add_extra(&mut self, now: Instant, bucket_id: BucketId, hash: u64, upstream: UpstreamId) {
        let table = &mut self.tables[bucket_id.0];
        if table.index(hash) != bucket_id.1 {
            return;
        }
        // If two entries recorded different upstreams, the coordinator's one
        // applies.
        let recorded = table.buckets[usize::from(bucket_id.1)].flows.get(&hash);
        let upstream = recorded.map_or(upstream, |record| record.upstream);
        table.pin(now, hash, upstream);
        if let Some(transfer) = self.transfers.get_mut(&bucket_id) {
            transfer.add(now, hash, upstream);
        }
    }

    /// Handles the acknowledgement that an entry has applied the commit.
    pub(crate) fn handle_committed(&mut self, now: Instant, from: EntryId, bucket_id: BucketId) {
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        if transfer.stage != Stage::Committing {
            return;
        }
        if let Some(progress) = transfer.peers.get_mut(&from) {
            progress.committed = true;
        }
        self.advance(now, bucket_id);
    }

    /// Handles the reply that an entry has another version of the bucket.
    pub(crate) fn handle_version_mismatch(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        version: Version,
    ) {
        if version > self.bucket_mut(bucket_id).version {
            self.pull(now, from, bucket_id);
            return;
        }
        // The entry has lost its state, so it starts again from the first step.
        if let Some(progress) = self.progress_mut(bucket_id, from) {
            *progress = Progress::new(now);
        }
        self.send_at = now;
    }

    fn progress_mut(&mut self, bucket_id: BucketId, peer: EntryId) -> Option<&mut Progress> {
        self.transfers.get_mut(&bucket_id)?.peers.get_mut(&peer)
    }
}
