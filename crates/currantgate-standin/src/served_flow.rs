//! The upstream's end of a TCP flow.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::download::Download;
use crate::segment::{Flags, Segment};

/// Timeout of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time that a closed flow is kept, to reply to retransmissions of the caller.
const CLOSED_RETENTION: Duration = Duration::from_secs(10);

/// Distinguishes flows that had the same addresses one after the other.
pub(crate) type FlowId = u64;

/// State of the upstream's end of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    HalfOpen { deadline: Instant },
    Open,
    Closed { deadline: Instant },
}

/// Action of an upstream upon a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Do nothing.
    Ignore,
    /// Send a segment.
    Send(Segment),
    /// Process a request as soon as a slot is free.
    Process(Vec<u8>),
    /// Remove the flow.
    Remove,
}

/// The upstream's end of a TCP flow, with one request at a time.
#[derive(Debug)]
pub(crate) struct ServedFlow {
    pub(crate) id: FlowId,
    pub(crate) download: Option<Download>,
    local: SocketAddrV4,
    caller: SocketAddrV4,
    state: State,
    send_next: u32,
    receive_next: u32,
    last_sent: Segment,
}

impl ServedFlow {
    /// Creates a flow for the SYN `segment`; [`Self::last_sent`] returns the SYN-ACK to send.
    pub(crate) fn open(now: Instant, id: FlowId, seq: u32, segment: &Segment) -> Self {
        let last_sent = Segment {
            from: segment.to,
            to: segment.from,
            seq,
            ack: segment.next_seq(),
            flags: Flags::SYN_ACK,
            payload: Vec::new(),
        };
        Self {
            id,
            download: None,
            local: segment.to,
            caller: segment.from,
            state: State::HalfOpen {
                deadline: now + HANDSHAKE_TIMEOUT,
            },
            send_next: last_sent.next_seq(),
            receive_next: segment.next_seq(),
            last_sent,
        }
    }

    /// Returns the last segment sent.
    pub(crate) fn last_sent(&self) -> &Segment {
        &self.last_sent
    }

    /// Returns whether the flow is established and not closed.
    pub(crate) fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether the flow is closed, so that its addresses may be reused.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Returns whether a half-open or closed flow has expired and may be removed.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        match self.state {
            State::HalfOpen { deadline } | State::Closed { deadline } => deadline <= now,
            State::Open => false,
        }
    }

    /// Processes a segment of the flow.
    pub(crate) fn process(&mut self, now: Instant, segment: &Segment) -> Action {
        if segment.flags.rst {
            return self.process_reset(segment);
        }
        if segment.flags.syn {
            return match self.state {
                State::HalfOpen { .. } => Action::Send(self.last_sent.clone()),
                State::Open | State::Closed { .. } => Action::Send(self.acknowledgement()),
            };
        }
        if let State::HalfOpen { .. } = self.state {
            if segment.ack != self.send_next {
                return Action::Send(segment.reset());
            }
            self.state = State::Open;
        }
        if segment.ack.wrapping_sub(self.send_next) as i32 > 0 {
            // It acknowledges data that was never sent: the segment belongs to another flow.
            return Action::Send(self.acknowledgement());
        }
        self.process_payload(now, segment)
    }

    /// Returns the next segment to the caller, with `payload`.
    pub(crate) fn send(&mut self, payload: Vec<u8>) -> Segment {
        self.next_segment(Flags::ACK, payload)
    }

    fn process_reset(&self, segment: &Segment) -> Action {
        if segment.seq == self.receive_next {
            Action::Remove
        } else {
            Action::Ignore
        }
    }

    fn process_payload(&mut self, now: Instant, segment: &Segment) -> Action {
        if segment.ack == self.send_next {
            if self.is_closed() && !segment.flags.fin {
                return Action::Remove;
            }
            if let Some(download) = &mut self.download {
                download.acknowledge(now);
            }
        }
        let is_new = segment.seq == self.receive_next;
        if !is_new {
            // The caller retransmits, so the last segment may have been lost.
            return Action::Send(self.last_sent.clone());
        }
        self.receive_next = segment.next_seq();
        if segment.flags.fin {
            self.download = None;
            self.state = State::Closed {
                deadline: now + CLOSED_RETENTION,
            };
            return Action::Send(self.next_segment(Flags::FIN_ACK, Vec::new()));
        }
        if segment.payload.is_empty() {
            return Action::Ignore;
        }
        self.last_sent = self.acknowledgement();
        Action::Process(segment.payload.clone())
    }

    fn next_segment(&mut self, flags: Flags, payload: Vec<u8>) -> Segment {
        self.last_sent = Segment {
            flags,
            payload,
            ..self.acknowledgement()
        };
        self.send_next = self.last_sent.next_seq();
        self.last_sent.clone()
    }

    fn acknowledgement(&self) -> Segment {
        Segment {
            from: self.local,
            to: self.caller,
            seq: self.send_next,
            ack: self.receive_next,
            flags: Flags::ACK,
            payload: Vec::new(),
        }
    }
}
