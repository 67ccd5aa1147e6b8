//! The buckets of one service.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Service, ServiceId, UpstreamId};
use currantgate_packet::FlowHash;

use crate::BucketIndex;
use crate::bucket::Bucket;
use crate::record::Record;

/// Periods of idleness for which an entry remembers a flow, since it sees only
/// a part of the flow's packets itself.
const SPRAY_FACTOR: u32 = 4;

/// Silence after which a flow that two other entries remember, and that the
/// table alone tells the upstream of, is let go.
const CACHED_TIMEOUT: Duration = Duration::from_secs(30);

/// The buckets of one service.
#[derive(Debug)]
pub(crate) struct Table {
    /// The service's id.
    pub(crate) id: ServiceId,
    /// The service.
    pub(crate) service: Service,
    /// Silence after which a flow is let go.
    pub(crate) idle: Duration,
    /// How long flows are remembered.
    pub(crate) retention: Retention,
    /// The buckets; their number is a power of two.
    pub(crate) buckets: Vec<Bucket>,
    /// Flows in all buckets.
    pub(crate) flows: usize,
}

/// How long flows are remembered after a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    held: Duration,
    cached: Duration,
}

impl Retention {
    /// Returns the time for a flow that this entry must remember, or may.
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
    /// The bits are neither the low ones, which place a flow in its bucket's
    /// map, nor the high ones, which the map compares first.
    pub(crate) fn index(&self, hash: FlowHash) -> BucketIndex {
        ((hash >> 40) as usize & (self.buckets.len() - 1)) as BucketIndex
    }

    /// Returns how long `me` remembers a flow of which a packet passes now.
    pub(crate) fn retention_time(
        &self,
        index: BucketIndex,
        me: EntryId,
        upstream: UpstreamId,
    ) -> Duration {
        let bucket = &self.buckets[usize::from(index)];
        self.retention.time(bucket.must_retain(me, upstream))
    }

    /// Remembers what another entry knows of a flow's upstream.
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

    /// Lets go of the flows of one bucket whose deadline has passed.
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
