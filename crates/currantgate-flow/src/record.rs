//! The record that an entry keeps of one flow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;
use currantgate_packet::{Packet, PacketKind};

/// Idle time after which the record of a flow that its caller has closed
/// expires.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(30);

/// Retention of a flow that both sides have closed, so that its last
/// acknowledgements are still delivered.
const CLOSED_TIMEOUT: Duration = Duration::from_secs(10);

/// The record that an entry keeps of one flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// The upstream that the flow belongs to.
    pub(crate) upstream: UpstreamId,
    /// The instant at which the record expires unless a packet passes.
    pub(crate) deadline: Instant,
    /// The caller's address, or `None` while no packet has passed this entry.
    pub(crate) caller: Option<SocketAddr>,
    /// Next TCP sequence number of the caller.
    pub(crate) next_seq: u32,
    /// Next TCP sequence number of the upstream.
    pub(crate) ack: u32,
    /// The state of the flow.
    pub(crate) state: FlowState,
}

/// The state of a flow, as observed by one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FlowState {
    /// A packet other than the first has passed.
    pub(crate) established: bool,
    /// The caller has closed its side.
    pub(crate) caller_finished: bool,
    /// The upstream has closed its side.
    pub(crate) upstream_finished: bool,
    /// Both sides have closed the flow, or it was reset.
    pub(crate) closed: bool,
    /// Every entry has recorded that the flow's upstream is not the bucket's
    /// owner.
    pub(crate) pinned: bool,
    /// The caller has been notified that its upstream is gone.
    pub(crate) caller_notified: bool,
}

impl Record {
    /// Returns a record of a flow of which no packet has passed this entry.
    pub(crate) fn new(upstream: UpstreamId, deadline: Instant) -> Self {
        Self {
            upstream,
            deadline,
            caller: None,
            next_seq: 0,
            ack: 0,
            state: FlowState::default(),
        }
    }

    /// Returns whether, as observed here, the caller has not closed the flow
    /// and it has not ended.
    pub(crate) fn is_open(&self) -> bool {
        !self.state.closed && !self.state.caller_finished
    }

    /// Updates the record with a packet from the caller; `time` is the
    /// retention from `now` on.
    pub(crate) fn on_request(&mut self, now: Instant, time: Duration, packet: &Packet) {
        if packet.kind == PacketKind::IcmpError {
            return;
        }
        self.caller.get_or_insert(packet.key.caller);
        self.next_seq = later_seq(self.next_seq, packet.next_seq);
        self.ack = later_seq(self.ack, packet.ack);
        match packet.kind {
            PacketKind::Open => {}
            PacketKind::Finish => self.state.caller_finished = true,
            _ => self.state.established = true,
        }
        self.extend_deadline(now, time, packet.kind);
    }

    /// Updates the record with a packet from the upstream; `time` is the
    /// retention from `now` on.
    pub(crate) fn on_answer(&mut self, now: Instant, time: Duration, packet: &Packet) {
        if packet.kind == PacketKind::IcmpError {
            return;
        }
        self.caller.get_or_insert(packet.key.caller);
        self.next_seq = later_seq(self.next_seq, packet.ack);
        self.ack = later_seq(self.ack, packet.next_seq);
        if packet.kind == PacketKind::Finish {
            self.state.upstream_finished = true;
        }
        self.extend_deadline(now, time, packet.kind);
    }

    fn extend_deadline(&mut self, now: Instant, time: Duration, kind: PacketKind) {
        if self.state.closed {
            return;
        }
        let FlowState {
            caller_finished,
            upstream_finished,
            ..
        } = self.state;
        self.state.closed = caller_finished && upstream_finished || kind == PacketKind::Reset;
        let limit = match (self.state.closed, caller_finished) {
            (true, _) => CLOSED_TIMEOUT,
            (false, true) => HALF_CLOSED_TIMEOUT,
            (false, false) => time,
        };
        self.deadline = now + time.min(limit);
    }
}

/// Returns the later of two TCP sequence numbers; zero means none.
fn later_seq(known: u32, seen: u32) -> u32 {
    // Sequence numbers wrap around: the later one is ahead by less than half of
    // their range.
    let ahead = seen.wrapping_sub(known) < 1 << 31;
    if seen != 0 && (known == 0 || ahead) {
        seen
    } else {
        known
    }
}
