//! The table of buckets of one service.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Service, ServiceId, UpstreamId};
use currantgate_packet::FlowHash;

use crate::BucketIndex;
use crate::bucket::Bucket;
use crate::record::Record;

/// Idle periods for which a flow is retained, since an entry sees only a part
/// of the flow's packets.
const SPRAY_FACTOR: u32 = 4;

/// Retention of a flow that two other entries also record and whose upstream
/// the table alone gives.
const CACHED_TIMEOUT: Duration = Duration::from_secs(30);

/// The table of buckets of one service.
#[derive(Debug)]
pub(crate) struct Table {
    /// The service's id.
    pub(crate) id: ServiceId,
    /// The service.
    pub(crate) service: Service,
    /// Idle time after which a flow ends.
    pub(crate) idle: Duration,
    /// Retention of flow records.
    pub(crate) retention: Retention,
    /// The buckets; their number is a power of two.
    pub(crate) buckets: Vec<Bucket>,
    /// Number of flows in all buckets.
    pub(crate) flows: usize,
}

/// Retention of flow records after a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    held: Duration,
    cached: Duration,
}

impl Retention {
    /// Returns the retention of a flow that this entry must retain, or of one
    /// that it only caches.
    pub(crate) fn time(self, must_retain: bool) -> Duration {
        if must_retain { self.held } else { self.cached }
    }
}

impl Table {
    /// Returns a table in which no bucket has an owner.
    pub(crate) fn new(service: Service, buckets: u32) -> Self {
        let idle = Duration::from_secs(service.limits.idle_seconds);
        Self {
            id: service.id(),
            idle,
            retention: Retention {
                held: idle * SPRAY_FACTOR,
                cached: CACHED_TIMEOUT.min(idle),
            },
            buckets: (0..buckets).map(|_| Bucket::new()).collect(),
            flows: 0,
            service,
        }
    }

    /// Returns the bucket that a flow falls into.
    ///
    /// The index uses neither the low bits, which choose the flow's slot in the
    /// bucket's map, nor the high bits, which the map compares first.
    pub(crate) fn index(&self, hash: FlowHash) -> BucketIndex {
        ((hash >> 40) as usize & (self.buckets.len() - 1)) as BucketIndex
    }

    /// Returns how long entry `me` retains a flow when a packet of it passes.
    pub(crate) fn retention_time(
        &self,
        index: BucketIndex,
        me: EntryId,
        upstream: UpstreamId,
    ) -> Duration {
        let bucket = &self.buckets[usize::from(index)];
        self.retention.time(bucket.must_retain(me, upstream))
    }

    /// Records the upstream of a flow as received from another entry.
    pub(crate) fn pin(&mut self, now: Instant, hash: FlowHash, upstream: UpstreamId) {
        let index = usize::from(self.index(hash));
        let deadline = now + self.retention.held;
        let before = self.buckets[index].flows.len();
        let record = self.buckets[index]
            .flows
            .entry(hash)
            .or_insert_with(|| Record::new(upstream, deadline));
        if record.upstream != upstream {
            record.upstream = upstream;
            record.state.pinned = false;
        }
        if record.is_open() {
            record.deadline = deadline;
        }
        self.buckets[index].filter.add_exception(hash);
        self.flows += self.buckets[index].flows.len() - before;
    }

    /// Removes the expired flows of one bucket.
    pub(crate) fn sweep(&mut self, now: Instant, index: usize, me: EntryId) {
        let time = self.retention.time(self.buckets[index].is_replica(me));
        let bucket = &mut self.buckets[index];
        for (hash, record) in &mut bucket.flows {
            if bucket.filter.was_seen(*hash) && record.is_open() {
                record.deadline = record.deadline.max(now + time);
            }
        }
        let flows = &mut bucket.flows;
        let before = flows.len();
        flows.retain(|_, record| record.deadline > now);
        self.flows -= before - flows.len();
        if flows.capacity() > 64 && flows.capacity() > flows.len() * 4 {
            flows.shrink_to(flows.len() * 2);
        }
        bucket.rebuild_filter();
    }
}
