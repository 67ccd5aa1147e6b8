//! Routes packets of flows that the deciding entry has no record of, and
//! repeated first packets.

use std::time::{Duration, Instant};

use currantgate_config::{Protocol, UpstreamId};
use currantgate_packet::{FlowHash, Packet, Refusal};

use crate::delivery::refuse_ended_flow;
use crate::record::Record;
use crate::router::{BucketId, Router};
use crate::transfer::{Cause, Stage};
use crate::{DropReason, Phase, Verdict};

/// Time during which a caller may retransmit the first packet of a TCP flow.
const FIRST_PACKET_RETRY_TIME: Duration = Duration::from_secs(130);

impl Router {
    /// Routes the first packet of a flow, which may be a retransmission.
    pub(crate) fn route_first_packet(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        hash: FlowHash,
        packet: &Packet,
    ) -> Verdict {
        if let Some(record) = self.bucket_mut(bucket_id).flows.get(&hash).copied() {
            return self.route_repeated_first_packet(now, bucket_id, hash, (record, packet));
        }
        let is_unowned = self.bucket_mut(bucket_id).phase == Phase::Unowned;
        if is_unowned && self.any_accepts_flows(now, bucket_id.0) {
            self.plan(now, bucket_id.0);
        }
        let limits = &self.tables[bucket_id.0].service.limits;
        let is_full = self.tables[bucket_id.0].flows >= limits.max_flows
            || self.open_flows() >= self.settings.max_flows;
        if is_full {
            return self.refuse_new_flow(now, bucket_id, packet);
        }
        match self.upstream_for_new_flow(now, bucket_id) {
            Some(upstream) => {
                self.record_flow(now, bucket_id.0, hash, upstream, packet);
                self.pin_in_transfer(now, bucket_id, hash, upstream);
                self.deliver_via_backup(bucket_id, upstream, packet, 0)
            }
            None if self.any_accepts_flows(now, bucket_id.0) => Verdict::Drop(DropReason::Deferred),
            None => self.refuse_new_flow(now, bucket_id, packet),
        }
    }

    /// Routes a first packet of a flow that has a record.
    pub(crate) fn route_repeated_first_packet(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        hash: FlowHash,
        (record, packet): (Record, &Packet),
    ) -> Verdict {
        let is_new = !record.is_open()
            || record.state.established && is_ahead(record.next_seq, packet.next_seq);
        let accepts =
            |id: &UpstreamId| self.upstreams.get(id).is_some_and(|k| k.accepts_flows(now));
        if packet.key.protocol == Protocol::Udp || !is_new || accepts(&record.upstream) {
            if is_new {
                self.bucket_mut(bucket_id).flows.remove(&hash);
                self.tables[bucket_id.0].flows -= 1;
            }
            self.record_flow(now, bucket_id.0, hash, record.upstream, packet);
            return self.deliver_via_backup(bucket_id, record.upstream, packet, 0);
        }
        self.restart_flow(now, bucket_id, hash);
        Verdict::Drop(DropReason::Deferred)
    }

    /// Starts a new flow under the addresses of an ended one.
    ///
    /// A move of the bucket makes every entry replace its record of the ended
    /// flow; the caller's retransmitted first packet then opens the new flow.
    pub(crate) fn restart_flow(&mut self, now: Instant, bucket_id: BucketId, hash: FlowHash) {
        let phase = self.bucket_mut(bucket_id).phase;
        let Some(owner) = phase.target() else { return };
        if let Some(transfer) = self.transfers.get(&bucket_id) {
            if transfer.stage == Stage::Committing || transfer.restarted.contains(&hash) {
                return;
            }
        } else {
            self.start_move(now, bucket_id, (owner, owner), Cause::Planned);
        }
        let idle = self.tables[bucket_id.0].idle;
        let fresh = Record::new(owner, now + idle);
        self.bucket_mut(bucket_id).flows.insert(hash, fresh);
        if let Some(transfer) = self.transfers.get_mut(&bucket_id) {
            transfer.restarted.insert(hash);
            if transfer.stage == Stage::Pinning {
                transfer.add(now, hash, owner);
            }
        }
        self.advance(now, bucket_id);
    }

    /// Routes a packet in the middle of a flow that has no record.
    pub(crate) fn route_packet_without_record(
        &mut self,
        now: Instant,
        bucket_id: BucketId,
        hash: FlowHash,
        packet: &Packet,
    ) -> Verdict {
        let without_record = self
            .transfers
            .get(&bucket_id)
            .map(|t| t.upstream_without_record());
        let upstream = match (self.bucket_mut(bucket_id).phase, without_record) {
            (Phase::Stable { owner }, _) => owner,
            (Phase::Moving { .. }, Some(Some(upstream))) => upstream,
            (Phase::Moving { .. }, _) => return Verdict::Drop(DropReason::Deferred),
            (Phase::Unowned, _) => return refuse_ended_flow(packet),
        };
        self.record_flow(now, bucket_id.0, hash, upstream, packet);
        self.pin_in_transfer(now, bucket_id, hash, upstream);
        self.deliver(bucket_id.0, upstream, packet)
    }

    /// Returns the upstream for a bucket's new flow, or `None` if no choice is
    /// safe or the upstream accepts no new flows.
    pub(crate) fn upstream_for_new_flow(
        &self,
        now: Instant,
        bucket_id: BucketId,
    ) -> Option<UpstreamId> {
        let bucket = &self.tables[bucket_id.0].buckets[usize::from(bucket_id.1)];
        let transfer = self.transfers.get(&bucket_id);
        let upstream = match (bucket.phase, transfer) {
            (Phase::Stable { owner }, _) => owner,
            (Phase::Moving { from, to }, Some(transfer)) => match transfer.stage {
                Stage::Preparing if transfer.cause == Cause::Planned => from,
                Stage::Preparing => return None,
                Stage::Pinning | Stage::Committing => to,
            },
            (Phase::Moving { .. }, None) | (Phase::Unowned, _) => return None,
        };
        let status = self.upstreams.get(&upstream)?;
        status.accepts_flows(now).then_some(upstream)
    }

    /// Returns whether any upstream of the service accepts new flows.
    pub(crate) fn any_accepts_flows(&self, now: Instant, t: usize) -> bool {
        let id = self.tables[t].id;
        let mut of_service = self.upstreams.values().filter(|k| k.service == id);
        of_service.any(|k| k.accepts_flows(now))
    }

    /// Refuses a flow that this entry has no record of. The refusal is "not
    /// run" only once the former primary can't have forwarded a packet of the
    /// flow; until then the packet is dropped as deferred.
    pub(crate) fn refuse_new_flow(
        &self,
        now: Instant,
        (t, index): BucketId,
        packet: &Packet,
    ) -> Verdict {
        let bucket = &self.tables[t].buckets[usize::from(index)];
        let time = match packet.key.protocol {
            Protocol::Tcp => FIRST_PACKET_RETRY_TIME,
            Protocol::Udp => self.tables[t].idle,
        };
        if bucket.primary_since.is_none_or(|since| now >= since + time) {
            Verdict::Refuse(Refusal::NotRun)
        } else {
            Verdict::Drop(DropReason::Deferred)
        }
    }
}

/// Returns whether sequence number `seen` comes after `known`.
fn is_ahead(known: u32, seen: u32) -> bool {
    let ahead = seen.wrapping_sub(known);
    ahead != 0 && ahead < 1 << 31
}
