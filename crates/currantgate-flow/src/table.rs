//! The buckets of one service.

use std::time::{Duration, Instant};

use currantgate_config::{Service, ServiceId, UpstreamId};
use currantgate_packet::FlowHash;

use crate::BucketIndex;
use crate::bucket::Bucket;
use crate::record::Record;

/// The buckets of one service.
#[derive(Debug)]
pub(crate) struct Table {
    /// The service's id.
    pub(crate) id: ServiceId,
    /// The service.
    pub(crate) service: Service,
    /// Silence after which a flow is let go.
    pub(crate) idle: Duration,
    /// The buckets; their number is a power of two.
    pub(crate) buckets: Vec<Bucket>,
    /// Flows in all buckets.
    pub(crate) flows: usize,
}

impl Table {
    /// Returns a table in which no bucket has an owner.
    pub(crate) fn new(service: Service, buckets: u32) -> Self {
        Self {
            id: service.id(),
            idle: Duration::from_secs(service.limits.idle_seconds),
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

    /// Remembers that another entry knows a flow's upstream.
    pub(crate) fn pin(&mut self, now: Instant, hash: FlowHash, upstream: UpstreamId) {
        let index = usize::from(self.index(hash));
        let deadline = now + self.idle;
        let before = self.buckets[index].flows.len();
        let record = self.buckets[index]
            .flows
            .entry(hash)
            .or_insert_with(|| Record::new(upstream, deadline));
        record.upstream = upstream;
        self.flows += self.buckets[index].flows.len() - before;
    }

    /// Lets go of the flows of one bucket whose deadline has passed.
    pub(crate) fn sweep(&mut self, now: Instant, index: usize) {
        let flows = &mut self.buckets[index].flows;
        let before = flows.len();
        flows.retain(|_, record| record.deadline > now);
        self.flows -= before - flows.len();
        if flows.capacity() > 64 && flows.capacity() > flows.len() * 4 {
            flows.shrink_to(flows.len() * 2);
        }
    }
}
