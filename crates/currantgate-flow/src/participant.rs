//! Follows moves that other entries coordinate.

use std::time::Instant;

use currantgate_config::{EntryId, UpstreamId};

use crate::pin::{self, PinGroup};
use crate::router::{BucketId, Router};
use crate::{Phase, Step, Version};

/// Maximum size of the flows in one step, in bytes.
pub(crate) const PAGE_BYTES: usize = 900;

impl Router {
    /// Marks a bucket as moving.
    pub(crate) fn handle_prepare(
        &mut self,
        from_entry: EntryId,
        bucket_id: BucketId,
        version: Version,
        (from, to): (UpstreamId, UpstreamId),
        (base, full_list): (Version, bool),
    ) {
        let bucket = self.bucket_mut(bucket_id);
        if version < bucket.version {
            self.reply_version_mismatch(from_entry, bucket_id);
            return;
        }
        let already_committed = bucket.phase == Phase::Stable { owner: to };
        let has_base = bucket.version == base && bucket.phase.is_stable();
        if version > bucket.version {
            bucket.adopt(version, Phase::Moving { from, to });
            if let Some(received) = &mut bucket.received {
                received.full_list = full_list;
                received.lacks_base = !has_base;
            }
            if !has_base {
                bucket.clear_pinned();
            }
            self.transfers.swap_remove(&bucket_id);
            self.merge_requests.swap_remove(&bucket_id);
            self.pulls.swap_remove(&bucket_id);
        }
        let received = self.bucket_mut(bucket_id).received.as_ref();
        let step = Step::Prepared {
            already_committed,
            lacks_base: received.is_some_and(|received| received.lacks_base),
        };
        self.reply(from_entry, bucket_id, version, step);
    }

    /// Records flows that the coordinator has pinned.
    pub(crate) fn handle_pins(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        version: Version,
        (offset, total, extras_received): (u32, u32, u32),
        flows: &[PinGroup],
    ) {
        let bucket = self.bucket_mut(bucket_id);
        if version != bucket.version {
            self.reply_version_mismatch(from, bucket_id);
            return;
        }
        let Some(mut received) = bucket.received.take() else {
            self.reply(from, bucket_id, version, Step::Committed);
            return;
        };
        if offset as usize == received.listed.len() {
            for (hash, upstream) in pin::ungroup(flows) {
                self.record_pin(now, bucket_id, hash, upstream);
                received.listed.insert(hash);
            }
        }
        let bucket = self.bucket_mut(bucket_id);
        if received.listed.len() as u32 >= total && received.extras.is_none() {
            let mut extras = match bucket.phase {
                Phase::Moving { from, .. } if !received.full_list => bucket.unpinned(from),
                _ => bucket.pins(),
            };
            extras.retain(|(hash, _)| !received.listed.contains(hash));
            if let Phase::Moving { from, to } = bucket.phase
                && from == to
            {
                extras.retain(|(_, upstream)| *upstream != to);
            }
            // From now on, the table alone doesn't give the upstream of these
            // flows.
            for (hash, upstream) in &extras {
                self.tables[bucket_id.0].pin(now, *hash, *upstream);
            }
            received.extras = Some(extras);
        }
        let bucket = self.bucket_mut(bucket_id);
        let empty = Vec::new();
        let extras = received.extras.as_ref().unwrap_or(&empty);
        let rest = extras.get(extras_received as usize..).unwrap_or_default();
        let count = pin::count_fitting(rest, PAGE_BYTES);
        let step = Step::PinsReceived {
            received: received.listed.len() as u32,
            extras_total: received.extras.as_ref().map(|e| e.len() as u32),
            offset: extras_received,
            flows: pin::group(&rest[..count]),
        };
        bucket.received = Some(received);
        self.reply(from, bucket_id, version, step);
    }

    fn record_pin(&mut self, now: Instant, bucket_id: BucketId, hash: u64, upstream: UpstreamId) {
        let table = &mut self.tables[bucket_id.0];
        if table.index(hash) == bucket_id.1 {
            table.pin(now, hash, upstream);
        }
    }

    /// Applies the commit that ends a move.
    pub(crate) fn handle_commit(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        version: Version,
        owner: UpstreamId,
    ) {
        let bucket = self.bucket_mut(bucket_id);
        if version < bucket.version {
            self.reply_version_mismatch(from, bucket_id);
            return;
        }
        let is_first = bucket.phase == Phase::Unowned && version.counter == 1;
        if version > bucket.version && !is_first {
            // This entry has not received the flows that the move pinned.
            self.pull(now, from, bucket_id);
            return;
        }
        if !bucket.phase.is_stable() || is_first {
            bucket.adopt(version, Phase::Stable { owner });
            bucket.mark_pinned();
        }
        self.reply(from, bucket_id, version, Step::Committed);
    }

    fn reply_version_mismatch(&mut self, to: EntryId, bucket_id: BucketId) {
        let bucket = self.bucket_mut(bucket_id);
        let version = bucket.version;
        self.reply(to, bucket_id, version, Step::VersionMismatch);
    }

    /// Queues a reply to a step of another entry.
    pub(crate) fn reply(&mut self, to: EntryId, bucket_id: BucketId, version: Version, step: Step) {
        let queue = self.replies.entry((to, bucket_id.0)).or_default();
        if queue.len() < MAX_QUEUED_REPLIES {
            queue.push_back((bucket_id.1, version, step));
        }
    }
}

/// Maximum number of replies that are queued for one entry and service. Replies
/// beyond it are dropped, as if the network had lost them.
const MAX_QUEUED_REPLIES: usize = 4_096;
