//! An upstream's side of one TCP flow.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::download::Download;
use crate::segment::{Flags, Segment};

/// How long a flow may be half open.
const HALF_OPEN_FOR: Duration = Duration::from_secs(6);

/// How long a closed flow is remembered, for a caller that repeats itself.
const CLOSED_FOR: Duration = Duration::from_secs(10);

/// Tells one flow from another that had the same addresses.
pub(crate) type FlowNumber = u64;

/// The stages of an upstream's side of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    HalfOpen { until: Instant },
    Open,
    Closed { until: Instant },
}

/// What an upstream does about a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Reaction {
    /// Nothing.
    Ignore,
    /// A segment is sent.
    Send(Segment),
    /// A request came in; it waits for a slot.
    Serve(Vec<u8>),
    /// The flow is forgotten.
    Forget,
}

/// An upstream's side of one TCP flow, with one request at a time.
#[derive(Debug)]
pub(crate) struct ServedFlow {
    pub(crate) number: FlowNumber,
    pub(crate) download: Option<Download>,
    own: SocketAddrV4,
    caller: SocketAddrV4,
    stage: Stage,
    send_next: u32,
    receive_next: u32,
    last: Segment,
}

impl ServedFlow {
    /// Opens a flow for the SYN `segment`; the first answer is [`Self::last`].
    pub(crate) fn open(now: Instant, number: FlowNumber, seq: u32, segment: &Segment) -> Self {
        let last = Segment {
            from: segment.to,
            to: segment.from,
            seq,
            ack: segment.next_seq(),
            flags: Flags::SYN_ACK,
            payload: Vec::new(),
        };
        Self {
            number,
            download: None,
            own: segment.to,
            caller: segment.from,
            stage: Stage::HalfOpen {
                until: now + HALF_OPEN_FOR,
            },
            send_next: last.next_seq(),
            receive_next: segment.next_seq(),
            last,
        }
    }

    /// Returns the segment that was sent last.
    pub(crate) fn last(&self) -> &Segment {
        &self.last
    }

    /// Tells whether the flow is established and not closed.
    pub(crate) fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Tells whether the flow is closed, so that its addresses may be reused.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self.stage, Stage::Closed { .. })
    }

    /// Tells whether the flow need not be remembered any more.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        match self.stage {
            Stage::HalfOpen { until } | Stage::Closed { until } => until <= now,
            Stage::Open => false,
        }
    }

    /// Takes a segment of the flow.
    pub(crate) fn take(&mut self, now: Instant, segment: &Segment) -> Reaction {
        if segment.flags.rst {
            return self.take_reset(segment);
        }
        if segment.flags.syn {
            return match self.stage {
                Stage::HalfOpen { .. } => Reaction::Send(self.last.clone()),
                Stage::Open | Stage::Closed { .. } => Reaction::Send(self.acknowledgement()),
            };
        }
        if let Stage::HalfOpen { .. } = self.stage {
            if segment.ack != self.send_next {
                return Reaction::Send(segment.reset());
            }
            self.stage = Stage::Open;
        }
        if segment.ack.wrapping_sub(self.send_next) as i32 > 0 {
            // It acknowledges what was never sent: another flow's segment.
            return Reaction::Send(self.acknowledgement());
        }
        self.take_acknowledged(now, segment)
    }

    /// Returns the segment that carries `payload` to the caller.
    pub(crate) fn send(&mut self, payload: Vec<u8>) -> Segment {
        self.push(Flags::ACK, payload)
    }

    fn take_reset(&self, segment: &Segment) -> Reaction {
        if segment.seq == self.receive_next {
            Reaction::Forget
        } else {
            Reaction::Ignore
        }
    }

    fn take_acknowledged(&mut self, now: Instant, segment: &Segment) -> Reaction {
        if segment.ack == self.send_next {
            if self.is_closed() && !segment.flags.fin {
                return Reaction::Forget;
            }
            if let Some(download) = &mut self.download {
                download.acknowledge(now);
            }
        }
        let is_new = segment.seq == self.receive_next;
        if !is_new {
            // The caller repeats itself, so the last answer may be lost.
            return Reaction::Send(self.last.clone());
        }
        self.receive_next = segment.next_seq();
        if segment.flags.fin {
            self.download = None;
            self.stage = Stage::Closed {
                until: now + CLOSED_FOR,
            };
            return Reaction::Send(self.push(Flags::FIN_ACK, Vec::new()));
        }
        if segment.payload.is_empty() {
            return Reaction::Ignore;
        }
        self.last = self.acknowledgement();
        Reaction::Serve(segment.payload.clone())
    }

    fn push(&mut self, flags: Flags, payload: Vec<u8>) -> Segment {
        self.last = Segment {
            flags,
            payload,
            ..self.acknowledgement()
        };
        self.send_next = self.last.next_seq();
        self.last.clone()
    }

    fn acknowledgement(&self) -> Segment {
        Segment {
            from: self.own,
            to: self.caller,
            seq: self.send_next,
            ack: self.receive_next,
            flags: Flags::ACK,
            payload: Vec::new(),
        }
    }
}
