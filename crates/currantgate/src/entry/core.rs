//! The state machines of one entry, connected to each other without any I/O.

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

use super::announcement_server::{AnnounceAction, AnnounceRequest};
use super::label;
use super::metrics::EntryMetrics;
use super::peer_message::PeerMessage;
use super::telemetry::Telemetry;

/// Bytes of the IPv4 and UDP headers of each datagram.
pub(crate) const HEADER_BYTES: usize = 28;

/// A datagram to send.
#[derive(Debug)]
pub(crate) enum Datagram<'a> {
    /// A packet of a caller, to an upstream.
    ToUpstream(SocketAddr, &'a [u8]),
    /// An answer of an upstream, to the fabric.
    ToFabric(SocketAddr, &'a [u8]),
    /// A refusal or ICMP error for a caller, to the fabric.
    RefusalToFabric(SocketAddr, Vec<u8>),
    /// A message to another entry.
    ToPeer(SocketAddr, Vec<u8>),
}

/// The state machines and metrics of one entry.
pub(crate) struct Core {
    pub(super) id: EntryId,
    pub(super) router: Router,
    pub(super) router_settings: RouterSettings,
    pub(super) members: Members,
    pub(super) budget: Budget,
    pub(super) telemetry: Telemetry,
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
            telemetry: Telemetry::new(settings, metrics),
            fabric: settings.fabric,
            inner_mtu: settings.flow.inner_mtu,
            peers: settings.peers.iter().map(|p| (p.id, p.address)).collect(),
            peer_ids: settings.peers.iter().map(|p| (p.address, p.id)).collect(),
        }
    }

    /// Routes an IP packet from the fabric; returns the datagram to send, if any.
    pub(crate) fn handle_request<'a>(
        &mut self,
        now: Instant,
        buf: &'a [u8],
    ) -> Option<Datagram<'a>> {
        let packet = self.accept_parsed(now, "the fabric", parse_request(buf))?;
        if packet.len > usize::from(self.inner_mtu) {
            return self.reject_too_big(now, &packet, buf);
        }
        let verdict = self.router.route(now, &packet);
        self.apply_verdict(now, verdict, &packet, buf)
    }

    /// Returns an ICMP error with the MTU for a packet that is too large to encapsulate.
    fn reject_too_big<'a>(
        &mut self,
        now: Instant,
        packet: &Packet,
        buf: &[u8],
    ) -> Option<Datagram<'a>> {
        let what = format_args!(
            "a packet of {} bytes of flow {}: the MTU is {} bytes",
            packet.len, packet.key, self.inner_mtu
        );
        self.telemetry.record_drop(now, "too_big", what);
        let answer = build_packet_too_big(buf, self.inner_mtu).ok()?;
        Some(Datagram::RefusalToFabric(self.fabric, answer))
    }

    /// Routes an IP packet from an upstream; returns the datagram to send, if any.
    pub(crate) fn handle_answer<'a>(
        &mut self,
        now: Instant,
        from: SocketAddr,
        buf: &'a [u8],
    ) -> Option<Datagram<'a>> {
        let packet = self.accept_parsed(now, &from, parse_answer(buf))?;
        match self.router.route_answer(now, from, &packet) {
            AnswerVerdict::Pass => {
                self.telemetry.metrics.answered.inc();
                Some(Datagram::ToFabric(self.fabric, buf))
            }
            AnswerVerdict::Drop(reason) => {
                let what = format_args!("an answer from {from} in flow {}: {reason}", packet.key);
                self.telemetry.record_drop(now, &reason.to_string(), what);
                None
            }
        }
    }

    /// Decodes a datagram received on the peer socket. Returns `None` if the sender is
    /// no peer or the message is malformed, which is logged and counted.
    pub(crate) fn decode_peer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        buf: &[u8],
    ) -> Option<(EntryId, PeerMessage)> {
        let Some(id) = self.peer_ids.get(&from).copied() else {
            let what = format_args!("a message from {from}: not the address of a peer");
            self.telemetry.record_drop(now, "unknown_peer", what);
            return None;
        };
        match PeerMessage::decode(buf) {
            Ok(message) => Some((id, message)),
            Err(e) => {
                let what = format_args!("a message from entry {id} at {from}: {e}");
                self.telemetry.record_drop(now, "bad_peer_message", what);
                None
            }
        }
    }

    /// Handles a message from another entry. The datagram returned for a forwarded
    /// packet borrows the packet's bytes from the message.
    pub(crate) fn handle_peer_message<'a>(
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
                    self.accept_parsed(now, &format_args!("entry {from}"), parse_request(bytes))?;
                let verdict = self.router.route_forwarded(now, from, forward, &packet);
                self.apply_verdict(now, verdict, &packet, bytes)
            }
        }
    }

    /// Handles an announcement or withdrawal and sends the result to its HTTP handler.
    pub(crate) fn handle_announce_request(&mut self, now: Instant, request: AnnounceRequest) {
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
                self.send_reply(
                    now,
                    &format!("announcement of {service}/{name}"),
                    result,
                    reply,
                );
            }
            AnnounceAction::Withdraw { incarnation, reply } => {
                let result = self.members.withdraw(now, &service, &name, incarnation);
                self.send_reply(
                    now,
                    &format!("withdrawal of {service}/{name}"),
                    result,
                    reply,
                );
            }
        }
    }

    fn send_reply<T>(
        &mut self,
        now: Instant,
        what: &str,
        result: Result<T, AnnounceError>,
        reply: oneshot::Sender<Result<T, AnnounceError>>,
    ) {
        if let Err(e) = &result {
            self.telemetry
                .warn(now, format_args!("rejected {what}: {e}"));
        }
        // Fails if the upstream has closed the connection; it then retries.
        let _ = reply.send(result);
    }

    /// Applies a new revision of the site file.
    pub(crate) fn set_site(&mut self, now: Instant, site: &Site) {
        self.members.set_services(site.services.clone());
        self.router_settings.services.clone_from(&site.services);
        self.router.set_services(now, site.services.clone());
        self.router.set_upstreams(now, self.members.upstreams());
    }

    /// Announces to the other entries that this one is about to stop.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.members.leave(now);
    }

    /// Returns whether the entry is in the serving stage, in which it decides about flows.
    pub(crate) fn is_serving(&self) -> bool {
        self.members.stage() == EntryStage::Serving
    }

    /// Runs the timers that are due at `now` and starts serving once synchronized.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.members.tick(now);
        self.router.tick(now);
        let joining = self.members.stage() == EntryStage::Joining;
        if joining && self.members.is_synced(now) && self.router.is_synced() {
            log::info!("entry {} is synchronized and starts serving", self.id);
            self.members.set_stage(now, EntryStage::Serving);
        }
        self.telemetry
            .metrics
            .open_flows
            .set(self.router.open_flows() as i64);
        self.telemetry
            .metrics
            .moving_buckets
            .set(self.router.moving_buckets() as i64);
    }

    /// Returns the instant at which to call [`Core::tick`] next.
    pub(crate) fn next_deadline(&self) -> Instant {
        let members = self.members.next_deadline();
        self.router
            .next_deadline()
            .map_or(members, |router| router.min(members))
    }

    /// Returns the parsed packet; logs and counts a parse error.
    fn accept_parsed(
        &mut self,
        now: Instant,
        from: &(impl Display + ?Sized),
        parsed: Result<Packet, PacketError>,
    ) -> Option<Packet> {
        match parsed {
            Ok(packet) => Some(packet),
            Err(e) => {
                self.telemetry.record_drop(
                    now,
                    label::packet_error_reason(e),
                    format_args!("a packet from {from}: {e}"),
                );
                None
            }
        }
    }

    /// Records a verdict in metrics and traces; returns the datagram to send, if any.
    fn apply_verdict<'a>(
        &mut self,
        now: Instant,
        verdict: Verdict,
        packet: &Packet,
        buf: &'a [u8],
    ) -> Option<Datagram<'a>> {
        self.telemetry.trace(&verdict, packet);
        match verdict {
            Verdict::Deliver { address, .. } => {
                self.telemetry.metrics.delivered.inc();
                Some(Datagram::ToUpstream(address, buf))
            }
            Verdict::Forward { to, forward } => {
                self.telemetry.metrics.forwarded.inc();
                let bytes = buf.to_vec();
                self.peer_datagram(to, &PeerMessage::Packet { forward, bytes })
            }
            Verdict::Refuse(refusal) => {
                self.telemetry.metrics.count_refusal(&refusal);
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
        // Not logged: the caller retransmits, by which time the bucket's move has ended.
        if reason == DropReason::Deferred {
            self.telemetry.metrics.count_drop(&reason.to_string());
            return;
        }
        let what = format_args!("a packet of flow {}: {reason}", packet.key);
        self.telemetry.record_drop(now, &reason.to_string(), what);
    }
}
