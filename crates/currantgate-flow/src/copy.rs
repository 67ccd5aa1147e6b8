//! Copies the flows of a bucket to an entry that has become its primary or
//! backup.

use std::time::{Duration, Instant};

use currantgate_config::EntryId;
use currantgate_packet::FlowHash;
use indexmap::IndexMap;

use crate::pin::{self, Pin, PinGroup};
use crate::router::{BucketId, Router};
use crate::{Step, Version};

/// Time until an unacknowledged part is sent again.
const COPY_RETRY: Duration = Duration::from_millis(1_500);

/// Time for which a new primary or backup must remain one before it receives a
/// copy, so that brief changes of the views cost nothing.
const COPY_DELAY: Duration = Duration::from_millis(500);

/// A bucket's primary and backup.
pub(crate) type Replicas = (Option<EntryId>, Option<EntryId>);

/// Copies in progress, by bucket and receiver.
pub(crate) type Copies = IndexMap<(BucketId, EntryId), CopyState>;

/// Progress of the copy of one bucket to one entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CopyState {
    /// The highest flow hash that the receiver has acknowledged.
    after: Option<FlowHash>,
    /// The instant at which the next part is sent.
    pub(crate) send_at: Instant,
}

/// Returns the entries that `me` must copy a bucket's flows to when the
/// bucket's replicas change.
///
/// One of the old replicas sends: the one that remains, else the primary, or
/// the backup if the primary is no longer live.
pub(crate) fn receivers(
    me: EntryId,
    old: Replicas,
    new: Replicas,
    is_live: impl Fn(EntryId) -> bool,
) -> impl Iterator<Item = EntryId> {
    let old_ids = [old.0, old.1];
    let new_ids = [new.0, new.1];
    let live = move |id: &EntryId| is_live(*id);
    let remaining = old_ids
        .into_iter()
        .flatten()
        .find(|id| new_ids.contains(&Some(*id)));
    let sender = remaining.or_else(|| old_ids.into_iter().flatten().find(live));
    let receivers = new_ids.into_iter().flatten();
    receivers.filter(move |id| sender == Some(me) && !old_ids.contains(&Some(*id)))
}

impl Router {
    /// Schedules a copy of a bucket to a new replica.
    pub(crate) fn begin_copy(&mut self, now: Instant, bucket_id: BucketId, to: EntryId) {
        let state = CopyState {
            after: None,
            send_at: now + COPY_DELAY,
        };
        self.copies.entry((bucket_id, to)).or_insert(state);
    }

    /// Cancels copies to entries that are no longer replicas of the bucket.
    pub(crate) fn prune_copies(&mut self) {
        let tables = &self.tables;
        self.copies.retain(|((t, index), to), _| {
            let bucket = &tables[*t].buckets[usize::from(*index)];
            bucket.primary == Some(*to) || bucket.backup == Some(*to)
        });
    }

    /// Returns the next part of a copy, in at most `bytes` bytes.
    pub(crate) fn copy_step(
        &mut self,
        now: Instant,
        (bucket_id, to): (BucketId, EntryId),
        bytes: usize,
    ) -> Option<(Version, Step)> {
        let bucket = &self.tables[bucket_id.0].buckets[usize::from(bucket_id.1)];
        let state = self.copies.get_mut(&(bucket_id, to))?;
        let after = state.after;
        let mut pins: Vec<Pin> = bucket
            .flows
            .iter()
            .filter(|(hash, record)| after.is_none_or(|a| **hash > a) && record.is_open())
            .map(|(hash, record)| (*hash, record.upstream))
            .collect();
        if pins.is_empty() {
            self.copies.swap_remove(&(bucket_id, to));
            return None;
        }
        pins.sort_unstable();
        let count = pin::count_fitting(&pins, bytes);
        if count == 0 {
            return None;
        }
        state.send_at = now + COPY_RETRY;
        let flows = pin::group(&pins[..count]);
        Some((bucket.version, Step::Copy { flows }))
    }

    /// Records flows received from another replica of the bucket.
    pub(crate) fn handle_copy(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        flows: &[PinGroup],
    ) {
        let mut last = 0;
        for (hash, upstream) in pin::ungroup(flows) {
            last = last.max(hash);
            if self.tables[bucket_id.0].index(hash) != bucket_id.1 {
                continue;
            }
            let recorded = self
                .bucket_mut(bucket_id)
                .flows
                .get(&hash)
                .map(|r| r.upstream);
            let upstream = recorded.unwrap_or(upstream);
            self.tables[bucket_id.0].pin(now, hash, upstream);
            self.pin_in_transfer(now, bucket_id, hash, upstream);
            self.request_merge_of_stray(now, bucket_id, hash);
        }
        let version = self.bucket_mut(bucket_id).version;
        self.reply(from, bucket_id, version, Step::Copied { up_to: last });
    }

    /// Handles the acknowledgement of a part of a copy.
    pub(crate) fn handle_copied(
        &mut self,
        now: Instant,
        from: EntryId,
        bucket_id: BucketId,
        up_to: u64,
    ) {
        if let Some(state) = self.copies.get_mut(&(bucket_id, from)) {
            state.after = state.after.max(Some(up_to));
            state.send_at = now;
            self.send_at = now;
        }
    }
}
