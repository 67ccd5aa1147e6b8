//! Records flows and delivers their packets to upstreams.

use std::time::Instant;

use currantgate_config::UpstreamId;
use currantgate_membership::Presence;
use currantgate_packet::{FlowHash, Packet, PacketKind, Refusal};

use crate::record::Record;
use crate::router::{BucketId, Router};
use crate::routing::MAX_HOPS;
use crate::transfer::Stage;
use crate::{DropReason, Forward, Phase, Verdict};

impl Router {
    /// Adds a flow that this entry has decided about to the pins of a move in
    /// progress.
    pub(crate) fn pin_in_transfer(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        hash: FlowHash,
        upstream: UpstreamId,
    ) {
        if let Some(transfer) = self.transfers.get_mut(&bucket_id)
            && transfer.stage == Stage::Pinning
            && transfer.to != upstream
        {
            transfer.add(now, hash, upstream);
            self.send_at = now;
        }
    }

    /// Requests a merge for a stray flow: one whose upstream is not the owner
    /// of its stable bucket and whose record other entries may lack.
    pub(crate) fn request_merge_of_stray(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        hash: FlowHash,
    ) {
        let bucket = self.bucket_mut(bucket_id);
        let (Phase::Stable { owner }, Some(record)) = (bucket.phase, bucket.flows.get(&hash))
        else {
            return;
        };
        if record.upstream != owner && !record.state.pinned && record.is_open() {
            self.merge_requests.entry(bucket_id).or_insert(now);
            self.send_at = now;
        }
    }

    /// Forwards a packet that begins or ends a flow to the backup, which
    /// records the flow and delivers the packet.
    pub(crate) fn deliver_via_backup(
        &self,
        bucket_id: BucketId,
        upstream: UpstreamId,
        packet: &Packet,
        hops: u8,
    ) -> Verdict {
        let backup = self.tables[bucket_id.0].buckets[usize::from(bucket_id.1)].backup;
        let me = self.settings.id;
        match backup {
            Some(to) if to != me && hops < MAX_HOPS => Verdict::Forward {
                to,
                forward: Forward::Record {
                    upstream,
                    hops: hops + 1,
                },
            },
            _ => self.deliver(bucket_id.0, upstream, packet),
        }
    }

    /// Records a flow's upstream and its packet, unless the limit of flows is
    /// reached. ICMP errors are not recorded.
    pub(crate) fn record_flow(
        &mut self,
        now: Instant,
        t: usize,
        hash: FlowHash,
        upstream: UpstreamId,
        packet: &Packet,
    ) {
        if packet.kind == PacketKind::IcmpError {
            return;
        }
        let open = self.open_flows();
        let me = self.settings.id;
        let table = &mut self.tables[t];
        let index = table.index(hash);
        let time = table.retention_time(index, me, upstream);
        let bucket = &mut table.buckets[usize::from(index)];
        // Flows that two other entries also record may use at most half of the
        // limit.
        let limit = if bucket.must_retain(me, upstream) {
            self.settings.max_flows
        } else {
            self.settings.max_flows / 2
        };
        let flows = &mut bucket.flows;
        if open >= limit && !flows.contains_key(&hash) {
            return;
        }
        let before = flows.len();
        let record = flows
            .entry(hash)
            .or_insert_with(|| Record::new(upstream, now));
        if record.upstream != upstream {
            record.upstream = upstream;
            record.state.pinned = false;
        }
        record.on_request(now, time, packet);
        table.flows += flows.len() - before;
        if bucket.phase != (Phase::Stable { owner: upstream }) {
            bucket.filter.add_exception(hash);
        }
    }

    /// Delivers a packet to its flow's upstream, or refuses it if that upstream
    /// is gone.
    #[inline]
    pub(crate) fn deliver(&self, t: usize, upstream: UpstreamId, packet: &Packet) -> Verdict {
        match self.upstreams.get(&upstream) {
            Some(status) if status.service != self.tables[t].id => refuse_ended_flow(packet),
            Some(status) if status.presence == Presence::Gone => refuse_ended_flow(packet),
            Some(status) => Verdict::Deliver {
                upstream,
                address: status.address,
            },
            None if self.gone.contains(&upstream) => refuse_ended_flow(packet),
            None => Verdict::Drop(DropReason::UnknownUpstream),
        }
    }
}

/// Refuses a packet of an ended flow, or drops it if it is of a kind that must
/// not be answered.
pub(crate) fn refuse_ended_flow(packet: &Packet) -> Verdict {
    match packet.kind {
        PacketKind::Reset | PacketKind::IcmpError => Verdict::Drop(DropReason::NoFlow),
        PacketKind::Open | PacketKind::Data | PacketKind::Finish => Verdict::Refuse(Refusal::Gone),
    }
}
