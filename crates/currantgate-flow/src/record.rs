//! What an entry remembers of one flow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::UpstreamId;
use currantgate_packet::{Packet, PacketKind};

/// Silence after which a flow that its caller has closed is let go.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a flow that both sides have closed is remembered, so that
/// its last acknowledgements still find their way.
const CLOSED_TIMEOUT: Duration = Duration::from_secs(10);

/// What an entry remembers of one flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// The upstream that the flow belongs to.
    pub(crate) upstream: UpstreamId,
    /// The instant at which the record is let go unless a packet passes.
    pub(crate) deadline: Instant,
    /// The caller's address, unknown while no packet has passed here.
    pub(crate) caller: Option<SocketAddr>,
    /// TCP sequence number that the caller would use next.
    pub(crate) next_seq: u32,
    /// TCP sequence number that the upstream would use next.
    pub(crate) ack: u32,
    /// How far the flow has come.
    pub(crate) state: FlowState,
}

/// How far a flow has come, as one entry saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FlowState {
    /// A packet other than the first has passed.
    pub(crate) established: bool,
    /// The caller has no more to send.
    pub(crate) caller_finished: bool,
    /// The upstream has no more to send.
    pub(crate) upstream_finished: bool,
    /// The flow has ended.
    pub(crate) closed: bool,
    /// Every entry knows that another upstream than the bucket's owner has it.
    pub(crate) pinned: bool,
    /// The caller has been told that its upstream is gone.
    pub(crate) caller_notified: bool,
}

impl Record {
    /// Returns a record of a flow that no packet of has passed here.
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

    /// Tells whether neither side has closed the flow, as far as is known here.
    pub(crate) fn is_open(&self) -> bool {
        !self.state.closed && !self.state.caller_finished
    }

    /// Takes in a packet that the caller sent; `time` is how long the flow is
    /// remembered from now on.
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

    /// Takes in a packet that the upstream sent; `time` is how long the flow is
    /// remembered from now on.
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

/// Returns the later of two TCP sequence numbers; zero stands for none.
fn later_seq(known: u32, seen: u32) -> u32 {
    // Sequence numbers wrap around: the later one is ahead by less than half.
    let ahead = seen.wrapping_sub(known) < 1 << 31;
    if seen != 0 && (known == 0 || ahead) {
        seen
    } else {
        known
    }
}
