//! Datagrams that are not sent in direct response to a packet: control messages and
//! delayed refusals.

use std::time::Instant;

use currantgate_config::EntryId;
use currantgate_flow::Router;
use currantgate_packet::{Packet, Refusal, build_refusal_without_payload};

use super::core::{Core, Datagram, HEADER_BYTES};
use super::peer_message::PeerMessage;

impl Core {
    /// Returns the next pending datagram, if any.
    pub(crate) fn poll_output(&mut self, now: Instant) -> Option<Datagram<'static>> {
        self.poll_members(now).or_else(|| self.poll_router(now))
    }

    fn poll_members(&mut self, now: Instant) -> Option<Datagram<'static>> {
        use currantgate_membership::Output;
        while let Some(output) = self.members.poll_output(now, &mut self.budget) {
            match output {
                Output::Send { to, message } => {
                    return self.control_datagram(to, &PeerMessage::Members(message));
                }
                Output::Resync => {
                    log::warn!(
                        "entry {} was paused for longer than the timeout and joins again",
                        self.id
                    );
                    self.router = Router::new(self.router_settings.clone(), now);
                    self.router.set_upstreams(now, self.members.upstreams());
                }
                Output::UpstreamsChanged => {
                    self.router.set_upstreams(now, self.members.upstreams());
                }
                Output::EntriesChanged => {
                    let entries = self.members.entries();
                    self.telemetry
                        .metrics
                        .live_entries
                        .set(entries.len() as i64);
                    self.router.set_entries(now, &entries);
                }
            }
        }
        None
    }

    fn poll_router(&mut self, now: Instant) -> Option<Datagram<'static>> {
        use currantgate_flow::Output;
        match self.router.poll_output(now, &mut self.budget)? {
            Output::Send { to, message } => self.control_datagram(to, &PeerMessage::Flow(message)),
            Output::Refuse { packet, refusal } => self.refusal_datagram(&packet, refusal),
        }
    }

    /// Counts a refusal and returns its packet.
    fn refusal_datagram(&mut self, packet: &Packet, refusal: Refusal) -> Option<Datagram<'static>> {
        self.telemetry.metrics.count_refusal(&refusal);
        let bytes = build_refusal_without_payload(packet, refusal).ok()?;
        Some(Datagram::RefusalToFabric(self.fabric, bytes))
    }

    /// Returns a control message as a datagram and charges its size to the budget.
    fn control_datagram(
        &mut self,
        to: EntryId,
        message: &PeerMessage,
    ) -> Option<Datagram<'static>> {
        let datagram = self.peer_datagram(to, message)?;
        if let Datagram::ToPeer(_, bytes) = &datagram {
            self.budget.spend(bytes.len() + HEADER_BYTES);
            self.telemetry
                .metrics
                .control_bytes
                .inc_by((bytes.len() + HEADER_BYTES) as u64);
        }
        Some(datagram)
    }

    /// Returns a message to another entry as a datagram, or `None` if the entry is no
    /// peer or the message can't be encoded.
    pub(super) fn peer_datagram(
        &self,
        to: EntryId,
        message: &PeerMessage,
    ) -> Option<Datagram<'static>> {
        let address = *self.peers.get(&to)?;
        match message.encode() {
            Ok(bytes) => Some(Datagram::ToPeer(address, bytes)),
            Err(e) => {
                log::error!("encoding a message to entry {to} failed: {e}");
                None
            }
        }
    }
}
