//! Routes packets that upstreams send.

use std::net::SocketAddr;
use std::time::Instant;

use currantgate_config::UpstreamId;
use currantgate_packet::{FlowHash, Packet, PacketKind};

use crate::record::Record;
use crate::router::Router;
use crate::{AnswerVerdict, DropReason, Phase};

impl Router {
    /// Routes a packet that came from an upstream's address. Drops it if the
    /// address belongs to no upstream, or if the packet's service or flow belongs
    /// to another upstream.
    pub fn route_answer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        packet: &Packet,
    ) -> AnswerVerdict {
        let Some(upstream) = self.addresses.get(&from).copied() else {
            return AnswerVerdict::Drop(DropReason::UnknownUpstream);
        };
        let service = self.upstreams.get(&upstream).map(|status| status.service);
        let Some(t) = self.table_of(packet) else {
            return AnswerVerdict::Drop(DropReason::WrongService);
        };
        if service != Some(self.tables[t].id) {
            return AnswerVerdict::Drop(DropReason::WrongService);
        }
        let hash = self.hasher.hash(&packet.key);
        let me = self.settings.id;
        let table = &mut self.tables[t];
        let index = table.index(hash);
        let time = table.retention_time(index, me, upstream);
        match table.buckets[usize::from(index)].flows.get_mut(&hash) {
            Some(record) if record.upstream == upstream => {
                record.on_answer(now, time, packet);
                AnswerVerdict::Pass
            }
            // The flow belongs to another upstream, so this answer must not
            // reach the caller.
            Some(_) => AnswerVerdict::Drop(DropReason::WrongUpstream),
            None => {
                self.record_answered_flow(now, t, hash, (upstream, packet));
                AnswerVerdict::Pass
            }
        }
    }

    /// Records a flow by its answer, so that a caller that sends nothing itself
    /// can be notified when the upstream is gone.
    pub(crate) fn record_answered_flow(
        &mut self,
        now: Instant,
        t: usize,
        hash: FlowHash,
        (upstream, packet): (UpstreamId, &Packet),
    ) {
        let is_full = self.open_flows() >= self.settings.max_flows / 2;
        let me = self.settings.id;
        let table = &mut self.tables[t];
        let index = table.index(hash);
        let time = table.retention_time(index, me, upstream);
        let bucket = &mut table.buckets[usize::from(index)];
        let is_owner = bucket.phase == Phase::Stable { owner: upstream };
        if is_full || !is_owner || packet.kind != PacketKind::Data {
            return;
        }
        let mut record = Record::new(upstream, now);
        record.on_answer(now, time, packet);
        bucket.flows.insert(hash, record);
        table.flows += 1;
    }
}
