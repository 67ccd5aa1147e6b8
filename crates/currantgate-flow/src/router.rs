//! The routing state machine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Protocol, Service, ServiceId, UpstreamId};
use currantgate_membership::{Budget, EntryView, Presence, Upstream, UpstreamState};
use currantgate_packet::{FlowHash, FlowHasher, Packet, PacketKind, Refusal};
use indexmap::IndexMap;

use crate::record::Record;
use crate::rendezvous;
use crate::{AnswerVerdict, DropReason, Forward, Message, Output, RouterSettings, Verdict};

/// Decides where packets go.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    hasher: FlowHasher,
    services: IndexMap<(Protocol, SocketAddr), Service>,
    upstreams: IndexMap<UpstreamId, Upstream>,
    addresses: IndexMap<SocketAddr, UpstreamId>,
    tables: IndexMap<ServiceId, Vec<Option<UpstreamId>>>,
    records: IndexMap<FlowHash, Record>,
}

impl Router {
    /// Returns a router that knows no upstream and no other entry.
    pub fn new(settings: RouterSettings) -> Self {
        let services = settings
            .services
            .iter()
            .map(|s| ((s.protocol, s.address), s.clone()))
            .collect();
        Self {
            hasher: FlowHasher::new(settings.hash_key),
            settings,
            services,
            upstreams: IndexMap::new(),
            addresses: IndexMap::new(),
            tables: IndexMap::new(),
            records: IndexMap::new(),
        }
    }

    /// Takes all known upstreams and how sure their presence is.
    pub fn set_upstreams<'a>(
        &mut self,
        _now: Instant,
        upstreams: impl Iterator<Item = (&'a Upstream, Presence)>,
    ) {
        self.upstreams = upstreams.map(|(u, _)| (u.id(), u.clone())).collect();
        self.addresses = self
            .upstreams
            .iter()
            .map(|(id, u)| (u.address, *id))
            .collect();
        let services: Vec<_> = self.services.values().map(Service::id).collect();
        for service in services {
            let table = self.compute_table(service);
            self.tables.insert(service, table);
        }
    }

    /// Takes the live entries, this one included.
    pub fn set_entries(&mut self, _now: Instant, _entries: &[EntryView]) {}

    /// Decides about a packet that the fabric handed over.
    pub fn route(&mut self, now: Instant, packet: &Packet) -> Verdict {
        let key = (packet.key.protocol, packet.key.service);
        let Some(service) = self.services.get(&key) else {
            return Verdict::Drop(DropReason::UnknownService);
        };
        let hash = self.hasher.hash(&packet.key);
        let deadline = now + Duration::from_secs(service.limits.idle_seconds);
        let service = service.id();
        let known = self.records.get(&hash).map(|record| record.upstream);
        let Some(upstream) = known.or_else(|| self.table_owner(service, hash)) else {
            return Verdict::Refuse(Refusal::NotRun);
        };
        let Some(found) = self.upstreams.get(&upstream) else {
            return Verdict::Refuse(Refusal::Gone);
        };
        let address = found.address;
        if packet.kind == PacketKind::Reset {
            self.records.swap_remove(&hash);
        } else {
            self.records.insert(hash, Record { upstream, deadline });
        }
        Verdict::Deliver { upstream, address }
    }

    /// Decides about a packet that entry `from` handed over.
    pub fn route_forwarded(
        &mut self,
        now: Instant,
        _from: EntryId,
        _forward: &Forward,
        packet: &Packet,
    ) -> Verdict {
        self.route(now, packet)
    }

    /// Decides about a packet that came from an upstream's address.
    pub fn answer(&mut self, _now: Instant, from: SocketAddr, packet: &Packet) -> AnswerVerdict {
        let Some(upstream) = self
            .addresses
            .get(&from)
            .and_then(|id| self.upstreams.get(id))
        else {
            return AnswerVerdict::Drop(DropReason::UnknownUpstream);
        };
        let key = (packet.key.protocol, packet.key.service);
        match self.services.get(&key) {
            Some(service) if service.id() == upstream.service => AnswerVerdict::Pass,
            _ => AnswerVerdict::Drop(DropReason::WrongService),
        }
    }

    /// Takes a message that entry `from` sent.
    pub fn receive(&mut self, _now: Instant, _from: EntryId, message: &Message) {
        match *message {}
    }

    /// Tells whether this entry knows enough to decide about flows.
    pub fn is_synced(&self) -> bool {
        true
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.records.retain(|_, record| record.deadline > now);
    }

    /// Returns the instant at which [`Router::tick`] is next wanted.
    pub fn next_deadline(&self) -> Option<Instant> {
        None
    }

    /// Returns the next thing to do, or nothing while the budget is closed.
    pub fn poll_output(&mut self, _now: Instant, _budget: &mut Budget) -> Option<Output> {
        None
    }

    fn table_owner(&self, service: ServiceId, hash: FlowHash) -> Option<UpstreamId> {
        let table = self.tables.get(&service)?;
        let bucket = hash as usize & (table.len() - 1);
        table[bucket]
    }

    fn compute_table(&self, service: ServiceId) -> Vec<Option<UpstreamId>> {
        let ready = |u: &&Upstream| u.service == service && u.state != UpstreamState::Draining;
        let candidates: Vec<_> = self
            .upstreams
            .values()
            .filter(ready)
            .map(Upstream::id)
            .collect();
        (0..self.settings.buckets)
            .map(|bucket| {
                let key = u64::from(service) << 32 | u64::from(bucket);
                rendezvous::choose(key, candidates.iter().copied())
            })
            .collect()
    }
}
