//! Decides about packets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Protocol, UpstreamId};
use currantgate_membership::Presence;
use currantgate_packet::{FlowHash, Packet, PacketKind, Refusal};

use crate::record::Record;
use crate::router::{Place, Router};
use crate::transfer::{Cause, Stage};
use crate::{AnswerVerdict, DropReason, Forward, Phase, Verdict};

/// Entries that may hand on one packet, one after the other.
const MAX_HOPS: u8 = 3;

/// One packet in so many looks at its flow's record without need.
const SHORT_WAYS: u8 = 64;

/// Time over which a caller may send the first packet of a TCP flow again.
const FIRST_PACKET_RETRIES: Duration = Duration::from_secs(130);

impl Router {
    /// Decides about a packet that the fabric handed over.
    pub fn route(&mut self, now: Instant, packet: &Packet) -> Verdict {
        let Some(t) = self.table_of(packet) else {
            return Verdict::Drop(DropReason::UnknownService);
        };
        let hash = self.hasher.hash(&packet.key);
        self.decide(now, t, hash, packet, 0)
    }

    /// Decides about a packet that entry `from` handed over.
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
                self.record(now, t, hash, *upstream, packet);
                let place = (t, self.tables[t].index(hash));
                self.note_decided(now, place, hash, *upstream);
                if self.keeps(place) {
                    self.deliver_by_backup(place, *upstream, packet, *hops)
                } else {
                    self.deliver(t, *upstream, packet)
                }
            }
        }
    }

    /// Decides about a packet that came from an upstream's address.
    pub fn answer(&mut self, now: Instant, from: SocketAddr, packet: &Packet) -> AnswerVerdict {
        let Some(upstream) = self.addresses.get(&from).copied() else {
            return AnswerVerdict::Drop(DropReason::UnknownUpstream);
        };
        let service = self.upstreams.get(&upstream).map(|known| known.service);
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
        let time = table.memory(index, me, upstream);
        match table.buckets[usize::from(index)].flows.get_mut(&hash) {
            Some(record) if record.upstream == upstream => {
                record.see_answer(now, time, packet);
                AnswerVerdict::Pass
            }
            // Another upstream has the flow: its caller must not hear this one.
            Some(_) => AnswerVerdict::Drop(DropReason::WrongUpstream),
            None => {
                self.cache_answer(now, t, hash, (upstream, packet));
                AnswerVerdict::Pass
            }
        }
    }

    /// Remembers a flow by its answer, so that a caller that only listens can
    /// be told when the upstream is gone.
    fn cache_answer(
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
        let time = table.memory(index, me, upstream);
        let bucket = &mut table.buckets[usize::from(index)];
        let is_owner = bucket.phase == Phase::Stable { owner: upstream };
        if is_full || !is_owner || packet.kind != PacketKind::Data {
            return;
        }
        let mut record = Record::new(upstream, now);
        record.see_answer(now, time, packet);
        bucket.flows.insert(hash, record);
        table.flows += 1;
    }

    fn decide(
        &mut self,
        now: Instant,
        t: usize,
        hash: FlowHash,
        packet: &Packet,
        hops: u8,
    ) -> Verdict {
        let place = (t, self.tables[t].index(hash));
        let me = self.settings.id;
        let opens = packet.kind == PacketKind::Open;
        let table = &mut self.tables[t];
        let bucket = &mut table.buckets[usize::from(place.1)];
        // Most packets need no record: the table tells their upstream. Some of
        // them look at it all the same, so that it is kept up.
        self.short_ways = (self.short_ways + 1) % SHORT_WAYS;
        if self.short_ways != 0
            && packet.kind == PacketKind::Data
            && packet.key.protocol == Protocol::Tcp
            && self.sync.is_done()
            && let Some(owner) = bucket.filter.pass(hash)
        {
            return self.deliver(t, owner, packet);
        }
        if !opens && let Some(record) = bucket.flows.get_mut(&hash) {
            let upstream = record.upstream;
            if packet.kind == PacketKind::Data {
                let holds = bucket.keeper == Some(me) || bucket.backup == Some(me);
                let must = holds || bucket.phase != Phase::Stable { owner: upstream };
                record.see_request(now, table.times.of(must), packet);
                return self.deliver(t, upstream, packet);
            }
            return self.continue_flow(now, place, hash, (upstream, packet), hops);
        }
        let is_udp = packet.key.protocol == Protocol::Udp;
        let is_first = opens || is_udp && packet.kind == PacketKind::Data;
        if !is_first
            && let Phase::Stable { owner } = bucket.phase
            && self.sync.is_done()
        {
            return self.continue_flow(now, place, hash, (owner, packet), hops);
        }
        match self.decider(place) {
            Some(_) if hops >= MAX_HOPS => Verdict::Drop(DropReason::ForwardedTooOften),
            Some(to) => Verdict::Forward {
                to,
                forward: Forward::Decide { hops: hops + 1 },
            },
            None if !self.sync.is_done() => Verdict::Drop(DropReason::Deferred),
            None if is_first => self.first_packet(now, place, hash, packet),
            None => self.unknown_packet(now, place, hash, packet),
        }
    }

    /// Sends a packet in the middle of a flow to the flow's upstream; one that
    /// ends the flow passes the entries that remember it.
    fn continue_flow(
        &mut self,
        now: Instant,
        place: Place,
        hash: FlowHash,
        (upstream, packet): (UpstreamId, &Packet),
        hops: u8,
    ) -> Verdict {
        self.record(now, place.0, hash, upstream, packet);
        if !matches!(packet.kind, PacketKind::Finish | PacketKind::Reset) {
            return self.deliver(place.0, upstream, packet);
        }
        match self.decider(place) {
            Some(to) if hops < MAX_HOPS => Verdict::Forward {
                to,
                forward: Forward::Record {
                    upstream,
                    hops: hops + 1,
                },
            },
            _ => self.deliver_by_backup(place, upstream, packet, hops),
        }
    }

    /// Returns the entry that decides for a bucket, unless it is this one.
    fn decider(&self, (t, index): Place) -> Option<EntryId> {
        let bucket = &self.tables[t].buckets[usize::from(index)];
        let me = self.settings.id;
        let mover = bucket.version.mover;
        if !bucket.phase.is_stable() && mover != me && self.entries.contains_key(&mover) {
            return Some(mover);
        }
        if self.transfers.contains_key(&(t, index)) {
            return None;
        }
        bucket.keeper.filter(|keeper| *keeper != me)
    }

    /// Decides about the first packet of a flow, or one sent again.
    fn first_packet(
        &mut self,
        now: Instant,
        place: Place,
        hash: FlowHash,
        packet: &Packet,
    ) -> Verdict {
        if let Some(record) = self.bucket_mut(place).flows.get(&hash).copied() {
            return self.repeated_first(now, place, hash, (record, packet));
        }
        if self.bucket_mut(place).phase == Phase::Unowned {
            self.plan(now, place.0);
        }
        let limits = &self.tables[place.0].service.limits;
        let is_full = self.tables[place.0].flows >= limits.max_flows
            || self.open_flows() >= self.settings.max_flows;
        if is_full {
            return self.refuse_new(now, place, packet);
        }
        match self.choose_new(now, place) {
            Some(upstream) => {
                self.record(now, place.0, hash, upstream, packet);
                self.note_decided(now, place, hash, upstream);
                self.deliver_by_backup(place, upstream, packet, 0)
            }
            None if self.any_takes_flows(now, place.0) => Verdict::Drop(DropReason::Deferred),
            None => self.refuse_new(now, place, packet),
        }
    }

    /// Decides about a first packet of a flow that has a record.
    fn repeated_first(
        &mut self,
        now: Instant,
        place: Place,
        hash: FlowHash,
        (record, packet): (Record, &Packet),
    ) -> Verdict {
        let is_new = !record.is_open()
            || record.stage.established && is_ahead(record.next_seq, packet.next_seq);
        let takes = |id: &UpstreamId| self.upstreams.get(id).is_some_and(|k| k.takes_flows(now));
        if packet.key.protocol == Protocol::Udp || !is_new || takes(&record.upstream) {
            if is_new {
                self.bucket_mut(place).flows.remove(&hash);
                self.tables[place.0].flows -= 1;
            }
            self.record(now, place.0, hash, record.upstream, packet);
            return self.deliver_by_backup(place, record.upstream, packet, 0);
        }
        self.replace(now, place, hash);
        Verdict::Drop(DropReason::Deferred)
    }

    /// Has all entries forget the past of a flow whose caller uses its
    /// addresses again; its first packet, sent again, then begins it anew.
    fn replace(&mut self, now: Instant, place: Place, hash: FlowHash) {
        let phase = self.bucket_mut(place).phase;
        let Some(owner) = phase.target() else { return };
        if let Some(transfer) = self.transfers.get(&place) {
            if transfer.stage == Stage::Committing || transfer.replaced.contains(&hash) {
                return;
            }
        } else {
            self.start_move(now, place, (owner, owner), Cause::Plan);
        }
        let idle = self.tables[place.0].idle;
        let fresh = Record::new(owner, now + idle);
        self.bucket_mut(place).flows.insert(hash, fresh);
        if let Some(transfer) = self.transfers.get_mut(&place) {
            transfer.replaced.insert(hash);
            if transfer.stage == Stage::Filling {
                transfer.add(now, hash, owner);
            }
        }
        self.advance(now, place);
    }

    /// Decides about a packet in the middle of a flow that has no record.
    fn unknown_packet(
        &mut self,
        now: Instant,
        place: Place,
        hash: FlowHash,
        packet: &Packet,
    ) -> Verdict {
        let unknown = self.transfers.get(&place).map(|t| t.unknown());
        let upstream = match (self.bucket_mut(place).phase, unknown) {
            (Phase::Stable { owner }, _) => owner,
            (Phase::Moving { .. }, Some(Some(upstream))) => upstream,
            (Phase::Moving { .. }, _) => return Verdict::Drop(DropReason::Deferred),
            (Phase::Unowned, _) => return refuse_gone(packet),
        };
        self.record(now, place.0, hash, upstream, packet);
        self.note_decided(now, place, hash, upstream);
        self.deliver(place.0, upstream, packet)
    }

    /// Returns the upstream that a bucket's new flow goes to, if one is safe.
    fn choose_new(&self, now: Instant, place: Place) -> Option<UpstreamId> {
        let bucket = &self.tables[place.0].buckets[usize::from(place.1)];
        let transfer = self.transfers.get(&place);
        let upstream = match (bucket.phase, transfer) {
            (Phase::Stable { owner }, _) => owner,
            (Phase::Moving { from, to }, Some(transfer)) => match transfer.stage {
                Stage::Marking if transfer.cause == Cause::Plan => from,
                Stage::Marking => return None,
                Stage::Filling | Stage::Committing => to,
            },
            (Phase::Moving { .. }, None) | (Phase::Unowned, _) => return None,
        };
        let known = self.upstreams.get(&upstream)?;
        known.takes_flows(now).then_some(upstream)
    }

    fn any_takes_flows(&self, now: Instant, t: usize) -> bool {
        let id = self.tables[t].id;
        let mut of_service = self.upstreams.values().filter(|k| k.service == id);
        of_service.any(|k| k.takes_flows(now))
    }

    /// Refuses a flow that this entry has no record of: "not run" is only
    /// said where the former keeper can't have sent a packet of it on.
    fn refuse_new(&self, now: Instant, (t, index): Place, packet: &Packet) -> Verdict {
        let bucket = &self.tables[t].buckets[usize::from(index)];
        let time = match packet.key.protocol {
            Protocol::Tcp => FIRST_PACKET_RETRIES,
            Protocol::Udp => self.tables[t].idle,
        };
        if bucket.kept_since.is_none_or(|since| now >= since + time) {
            Verdict::Refuse(Refusal::NotRun)
        } else {
            Verdict::Drop(DropReason::Deferred)
        }
    }

    /// Tells a move in progress of a flow that this entry has decided about.
    pub(crate) fn note_decided(
        &mut self,
        now: Instant,
        place: Place,
        hash: FlowHash,
        upstream: UpstreamId,
    ) {
        if let Some(transfer) = self.transfers.get_mut(&place)
            && transfer.stage == Stage::Filling
            && transfer.to != upstream
        {
            transfer.add(now, hash, upstream);
            self.send_at = now;
        }
    }

    /// Hands a packet that begins or ends a flow to the backup, which then
    /// knows of it too and delivers it.
    fn deliver_by_backup(
        &self,
        place: Place,
        upstream: UpstreamId,
        packet: &Packet,
        hops: u8,
    ) -> Verdict {
        let backup = self.tables[place.0].buckets[usize::from(place.1)].backup;
        let me = self.settings.id;
        match backup {
            Some(to) if to != me && hops < MAX_HOPS => Verdict::Forward {
                to,
                forward: Forward::Record {
                    upstream,
                    hops: hops + 1,
                },
            },
            _ => self.deliver(place.0, upstream, packet),
        }
    }

    /// Remembers a flow's upstream, within the limits.
    fn record(
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
        let time = table.memory(index, me, upstream);
        let bucket = &mut table.buckets[usize::from(index)];
        // Flows that two others remember may take half of the room, at most.
        let room = if bucket.must_remember(me, upstream) {
            self.settings.max_flows
        } else {
            self.settings.max_flows / 2
        };
        let flows = &mut bucket.flows;
        if open >= room && !flows.contains_key(&hash) {
            return;
        }
        let before = flows.len();
        let record = flows
            .entry(hash)
            .or_insert_with(|| Record::new(upstream, now));
        if record.upstream != upstream {
            record.upstream = upstream;
            record.stage.pinned = false;
        }
        record.see_request(now, time, packet);
        table.flows += flows.len() - before;
        if bucket.phase != (Phase::Stable { owner: upstream }) {
            bucket.filter.add_exception(hash);
        }
    }

    /// Sends a packet to its flow's upstream, if that is still there.
    #[inline]
    fn deliver(&self, t: usize, upstream: UpstreamId, packet: &Packet) -> Verdict {
        match self.upstreams.get(&upstream) {
            Some(known) if known.service != self.tables[t].id => refuse_gone(packet),
            Some(known) if known.presence == Presence::Gone => refuse_gone(packet),
            Some(known) => Verdict::Deliver {
                upstream,
                address: known.address,
            },
            None if self.gone.contains(&upstream) => refuse_gone(packet),
            None => Verdict::Drop(DropReason::UnknownUpstream),
        }
    }
}

/// Tells whether sequence number `seen` comes after `known`.
fn is_ahead(known: u32, seen: u32) -> bool {
    let ahead = seen.wrapping_sub(known);
    ahead != 0 && ahead < 1 << 31
}

/// Says that a flow has ended, unless the packet is of a kind that must not
/// be answered.
fn refuse_gone(packet: &Packet) -> Verdict {
    match packet.kind {
        PacketKind::Reset | PacketKind::IcmpError => Verdict::Drop(DropReason::NoFlow),
        PacketKind::Open | PacketKind::Data | PacketKind::Finish => Verdict::Refuse(Refusal::Gone),
    }
}
