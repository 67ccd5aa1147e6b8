//! Routes packets that callers send.

use std::time::Instant;

use currantgate_config::{EntryId, Protocol, UpstreamId};
use currantgate_packet::{FlowHash, Packet, PacketKind};

use crate::router::{BucketId, Router};
use crate::{DropReason, Forward, Phase, Verdict};

/// Maximum number of entries that may forward one packet in turn.
pub(crate) const MAX_HOPS: u8 = 3;

/// Interval, in packets, at which a packet takes the slow path, which updates
/// the record of its flow.
const SLOW_PATH_INTERVAL: u8 = 64;

impl Router {
    /// Routes a packet that came from the fabric.
    pub fn route(&mut self, now: Instant, packet: &Packet) -> Verdict {
        let Some(t) = self.table_of(packet) else {
            return Verdict::Drop(DropReason::UnknownService);
        };
        let hash = self.hasher.hash(&packet.key);
        self.decide(now, t, hash, packet, 0)
    }

    /// Routes a packet that entry `from` forwarded.
    pub fn route_forwarded(
        &mut self,
        now: Instant,
        _from: EntryId,
        forward: &Forward,
        packet: &Packet,
    ) -> Verdict {
        let Some(t) = self.table_of(packet) else {
            return Verdict::Drop(DropReason::UnknownService);
        };
        let hash = self.hasher.hash(&packet.key);
        match forward {
            Forward::Decide { hops } => self.decide(now, t, hash, packet, *hops),
            Forward::Record { upstream, hops } => {
                self.record_flow(now, t, hash, *upstream, packet);
                let bucket_id = (t, self.tables[t].index(hash));
                self.pin_in_transfer(now, bucket_id, hash, *upstream);
                self.request_merge_of_stray(now, bucket_id, hash);
                if self.is_primary(bucket_id) {
                    self.deliver_via_backup(bucket_id, *upstream, packet, *hops)
                } else {
                    self.deliver(t, *upstream, packet)
                }
            }
        }
    }

    /// Decides about a packet that `hops` entries have forwarded.
    pub(crate) fn decide(
        &mut self,
        now: Instant,
        t: usize,
        hash: FlowHash,
        packet: &Packet,
        hops: u8,
    ) -> Verdict {
        let bucket_id = (t, self.tables[t].index(hash));
        let me = self.settings.id;
        let opens = packet.kind == PacketKind::Open;
        let table = &mut self.tables[t];
        let bucket = &mut table.buckets[usize::from(bucket_id.1)];
        // Most packets need no record, since the table gives their upstream.
        // One in `SLOW_PATH_INTERVAL` looks up its record all the same, which
        // keeps the record up to date.
        self.fast_path_run = (self.fast_path_run + 1) % SLOW_PATH_INTERVAL;
        if self.fast_path_run != 0
            && packet.kind == PacketKind::Data
            && packet.key.protocol == Protocol::Tcp
            && self.sync.is_done()
            && let Some(owner) = bucket.filter.mark_seen(hash)
        {
            return self.deliver(t, owner, packet);
        }
        if !opens && let Some(record) = bucket.flows.get_mut(&hash) {
            let upstream = record.upstream;
            if packet.kind == PacketKind::Data {
                let is_replica = bucket.primary == Some(me) || bucket.backup == Some(me);
                let must_retain = is_replica || bucket.phase != Phase::Stable { owner: upstream };
                record.on_request(now, table.retention.time(must_retain), packet);
                return self.deliver(t, upstream, packet);
            }
            return self.continue_flow(now, bucket_id, hash, (upstream, packet), hops);
        }
        let is_udp = packet.key.protocol == Protocol::Udp;
        let is_first = opens || is_udp && packet.kind == PacketKind::Data;
        if !is_first
            && let Phase::Stable { owner } = bucket.phase
            && self.sync.is_done()
        {
            return self.continue_flow(now, bucket_id, hash, (owner, packet), hops);
        }
        match self.deciding_peer(bucket_id) {
            Some(_) if hops >= MAX_HOPS => Verdict::Drop(DropReason::ForwardedTooOften),
            Some(to) => Verdict::Forward {
                to,
                forward: Forward::Decide { hops: hops + 1 },
            },
            None if !self.sync.is_done() => Verdict::Drop(DropReason::Deferred),
            None if is_first => self.route_first_packet(now, bucket_id, hash, packet),
            None => self.route_packet_without_record(now, bucket_id, hash, packet),
        }
    }

    /// Delivers a packet in the middle of a flow to the flow's upstream. A
    /// packet that ends the flow is forwarded through the bucket's primary and
    /// backup, so that their records are updated.
    pub(crate) fn continue_flow(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        hash: FlowHash,
        (upstream, packet): (UpstreamId, &Packet),
        hops: u8,
    ) -> Verdict {
        self.record_flow(now, bucket_id.0, hash, upstream, packet);
        if !matches!(packet.kind, PacketKind::Finish | PacketKind::Reset) {
            return self.deliver(bucket_id.0, upstream, packet);
        }
        match self.deciding_peer(bucket_id) {
            Some(to) if hops < MAX_HOPS => Verdict::Forward {
                to,
                forward: Forward::Record {
                    upstream,
                    hops: hops + 1,
                },
            },
            _ => self.deliver_via_backup(bucket_id, upstream, packet, hops),
        }
    }

    /// Returns the entry that decides for a bucket, or `None` if that is this
    /// entry.
    pub(crate) fn deciding_peer(&self, (t, index): BucketId) -> Option<EntryId> {
        let bucket = &self.tables[t].buckets[usize::from(index)];
        let me = self.settings.id;
        let coordinator = bucket.version.coordinator;
        if !bucket.phase.is_stable() && coordinator != me && self.entries.contains_key(&coordinator)
        {
            return Some(coordinator);
        }
        if self.transfers.contains_key(&(t, index)) {
            return None;
        }
        bucket.primary.filter(|primary| *primary != me)
    }
}
