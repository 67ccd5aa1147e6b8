//! One entry's state machines, wired to each other without any I/O.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Instant;

use currantgate_config::{EntryId, EntrySettings, Incarnation, Site};
use currantgate_flow::{AnswerVerdict, DropReason, Router, RouterSettings, Verdict};
use currantgate_membership::{AnnounceError, Budget, EntryStage, Members, MembersSettings};
use currantgate_packet::{
    Packet, PacketError, build_packet_too_big, build_refusal, parse_answer, parse_request,
};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::announce::{AnnounceAction, AnnounceRequest};
use super::label;
use super::metrics::EntryMetrics;
use super::peer_message::PeerMessage;
use super::reports::Reports;

/// Bytes of the IPv4 and UDP headers around each datagram.
pub(crate) const HEADER_BYTES: usize = 28;

/// One datagram that the daemon is to send.
#[derive(Debug)]
pub(crate) enum Datagram<'a> {
    /// A caller's packet to an upstream.
    ToUpstream(SocketAddr, &'a [u8]),
    /// An answer towards a caller.
    ToFabric(SocketAddr, &'a [u8]),
    /// A refusal towards a caller.
    RefusalToFabric(SocketAddr, Vec<u8>),
    /// A message to another entry.
    ToPeer(SocketAddr, Vec<u8>),
}

/// One entry's state machines and counters.
pub(crate) struct Core {
    pub(super) id: EntryId,
    pub(super) router: Router,
    pub(super) router_settings: RouterSettings,
    pub(super) members: Members,
    pub(super) budget: Budget,
    pub(super) reports: Reports,
    pub(super) fabric: SocketAddr,
    pub(super) inner_mtu: u16,
    pub(super) peers: IndexMap<EntryId, SocketAddr>,
    pub(super) peer_ids: IndexMap<SocketAddr, EntryId>,
}

impl Core {
    pub(crate) fn new(
        settings: &EntrySettings,
        site: &Site,
        metrics: EntryMetrics,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        let mut domains: IndexMap<_, _> = settings
            .peers
            .iter()
            .map(|p| (p.id, p.domain.clone()))
            .collect();
        domains.insert(settings.id, settings.domain.clone());
        let router_settings = RouterSettings {
            id: settings.id,
            domains,
            services: site.services.clone(),
            hash_key: settings.flow.hash_key.value(),
            buckets: settings.flow.buckets,
            max_flows: settings.flow.max_flows,
            seed: u64::from(settings.id),
        };
        let members = Members::new(
            MembersSettings {
                id: settings.id,
                incarnation,
                domain: settings.domain.clone(),
                peers: settings.peers.clone(),
                services: site.services.clone(),
                seed: u64::from(settings.id),
                ..MembersSettings::default()
            },
            now,
        );
        Self {
            id: settings.id,
            router: Router::new(router_settings.clone(), now),
            router_settings,
            members,
            budget: Budget::new(&settings.budget, now),
            reports: Reports::new(settings, metrics),
            fabric: settings.fabric,
            inner_mtu: settings.flow.inner_mtu,
            peers: settings.peers.iter().map(|p| (p.id, p.address)).collect(),
            peer_ids: settings.peers.iter().map(|p| (p.address, p.id)).collect(),
        }
    }

    /// Takes an IP packet from the fabric.
    pub(crate) fn take_request<'a>(&mut self, now: Instant, buf: &'a [u8]) -> Option<Datagram<'a>> {
        let packet = self.parsed(now, "the fabric", parse_request(buf))?;
        if packet.len > usize::from(self.inner_mtu) {
            return self.too_big(now, &packet, buf);
        }
        let verdict = self.router.route(now, &packet);
        self.carry_out(now, verdict, &packet, buf)
    }

    /// Tells a caller that its packet doesn't fit the encapsulation.
    fn too_big<'a>(&mut self, now: Instant, packet: &Packet, buf: &[u8]) -> Option<Datagram<'a>> {
        let what = format_args!(
            "a packet of {} bytes of flow {}: more than {} don't fit",
            packet.len, packet.key, self.inner_mtu
        );
        self.reports.drop(now, "too_big", what);
        let answer = build_packet_too_big(buf, self.inner_mtu).ok()?;
        Some(Datagram::RefusalToFabric(self.fabric, answer))
    }

    /// Takes an IP packet from an upstream.
    pub(crate) fn take_answer<'a>(
        &mut self,
        now: Instant,
        from: SocketAddr,
        buf: &'a [u8],
    ) -> Option<Datagram<'a>> {
        let packet = self.parsed(now, &from, parse_answer(buf))?;
        match self.router.route_answer(now, from, &packet) {
            AnswerVerdict::Pass => {
                self.reports.metrics.answered.inc();
                Some(Datagram::ToFabric(self.fabric, buf))
            }
            AnswerVerdict::Drop(reason) => {
                let what = format_args!("an answer from {from} in flow {}: {reason}", packet.key);
                self.reports.drop(now, &reason.to_string(), what);
                None
            }
        }
    }

    /// Reads a datagram from the address of another entry.
    pub(crate) fn decode_peer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        buf: &[u8],
    ) -> Option<(EntryId, PeerMessage)> {
        let Some(id) = self.peer_ids.get(&from).copied() else {
            let what = format_args!("a message from {from}, which is no peer");
            self.reports.drop(now, "unknown_peer", what);
            return None;
        };
        match PeerMessage::decode(buf) {
            Ok(message) => Some((id, message)),
            Err(e) => {
                let what = format_args!("a message from entry {id} at {from}: {e}");
                self.reports.drop(now, "bad_peer_message", what);
                None
            }
        }
    }

    /// Takes a message from another entry; a forwarded packet's bytes must
    /// outlive the datagram that is returned for it.
    pub(crate) fn take_peer_message<'a>(
        &mut self,
        now: Instant,
        from: EntryId,
        message: &'a PeerMessage,
    ) -> Option<Datagram<'a>> {
        match message {
            PeerMessage::Members(message) => {
                self.members.receive(now, from, message.clone());
                None
            }
            PeerMessage::Flow(message) => {
                self.router.receive(now, from, message);
                None
            }
            PeerMessage::Packet { forward, bytes } => {
                let packet =
                    self.parsed(now, &format_args!("entry {from}"), parse_request(bytes))?;
                let verdict = self.router.route_forwarded(now, from, forward, &packet);
                self.carry_out(now, verdict, &packet, bytes)
            }
        }
    }

    /// Takes what an upstream asks for and answers it.
    pub(crate) fn take_announce_request(&mut self, now: Instant, request: AnnounceRequest) {
        let AnnounceRequest {
            service,
            name,
            action,
        } = request;
        match action {
            AnnounceAction::Announce {
                announcement,
                reply,
            } => {
                let result = self.members.announce(now, &service, &name, announcement);
                self.answer(
                    now,
                    &format!("announcement of {service}/{name}"),
                    result,
                    reply,
                );
            }
            AnnounceAction::Withdraw { incarnation, reply } => {
                let result = self.members.withdraw(now, &service, &name, incarnation);
                self.answer(
                    now,
                    &format!("withdrawal of {service}/{name}"),
                    result,
                    reply,
                );
            }
        }
    }

    fn answer<T>(
        &mut self,
        now: Instant,
        what: &str,
        result: Result<T, AnnounceError>,
        reply: oneshot::Sender<Result<T, AnnounceError>>,
    ) {
        if let Err(e) = &result {
            self.reports
                .warn(now, format_args!("rejected the {what}: {e}"));
        }
        // The upstream may have hung up meanwhile; it will ask again.
        let _ = reply.send(result);
    }

    /// Puts a new revision of the site file in force, as a whole.
    pub(crate) fn set_site(&mut self, now: Instant, site: &Site) {
        self.members.set_services(site.services.clone());
        self.router_settings.services.clone_from(&site.services);
        self.router.set_services(now, site.services.clone());
        self.router.set_upstreams(now, self.members.upstreams());
    }

    /// Tells the other entries that this one is about to stop.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.members.leave(now);
    }

    /// Tells whether the entry decides about flows.
    pub(crate) fn is_serving(&self) -> bool {
        self.members.stage() == EntryStage::Serving
    }

    /// Does what is due at `now`.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.members.tick(now);
        self.router.tick(now);
        let joining = self.members.stage() == EntryStage::Joining;
        if joining && self.members.is_synced(now) && self.router.is_synced() {
            log::info!("entry {} knows what the others know and serves", self.id);
            self.members.set_stage(now, EntryStage::Serving);
        }
        self.reports
            .metrics
            .open_flows
            .set(self.router.open_flows() as i64);
        self.reports
            .metrics
            .moving_buckets
            .set(self.router.moving_buckets() as i64);
    }

    /// Returns the instant at which [`Core::tick`] is next wanted.
    pub(crate) fn next_deadline(&self) -> Instant {
        let members = self.members.next_deadline();
        self.router
            .next_deadline()
            .map_or(members, |router| router.min(members))
    }

    fn parsed(
        &mut self,
        now: Instant,
        from: &(impl Display + ?Sized),
        parsed: Result<Packet, PacketError>,
    ) -> Option<Packet> {
        match parsed {
            Ok(packet) => Some(packet),
            Err(e) => {
                self.reports.drop(
                    now,
                    label::packet_error(e),
                    format_args!("a packet from {from}: {e}"),
                );
                None
            }
        }
    }

    fn carry_out<'a>(
        &mut self,
        now: Instant,
        verdict: Verdict,
        packet: &Packet,
        buf: &'a [u8],
    ) -> Option<Datagram<'a>> {
        self.reports.trace(&verdict, packet);
        match verdict {
            Verdict::Deliver { address, .. } => {
                self.reports.metrics.delivered.inc();
                Some(Datagram::ToUpstream(address, buf))
            }
            Verdict::Forward { to, forward } => {
                self.reports.metrics.forwarded.inc();
                let bytes = buf.to_vec();
                self.peer_datagram(to, &PeerMessage::Packet { forward, bytes })
            }
            Verdict::Refuse(refusal) => {
                self.reports.metrics.count_refusal(&refusal);
                let answer = build_refusal(packet, buf, refusal).ok()?;
                Some(Datagram::RefusalToFabric(self.fabric, answer))
            }
            Verdict::Drop(reason) => {
                self.drop_request(now, reason, packet);
                None
            }
        }
    }

    fn drop_request(&mut self, now: Instant, reason: DropReason, packet: &Packet) {
        // The caller sends it again, and the bucket's move has ended by then.
        if reason == DropReason::Deferred {
            self.reports.metrics.count_drop(&reason.to_string());
            return;
        }
        let what = format_args!("a packet of flow {}: {reason}", packet.key);
        self.reports.drop(now, &reason.to_string(), what);
    }
}
