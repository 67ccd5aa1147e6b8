//! The caller's end of a TCP flow.

use std::time::{Duration, Instant};

use crate::CallerSettings;
use crate::segment::{Flags, Segment};

/// Initial retransmission timeout, which doubles with each retransmission.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of times the retransmission timeout doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Time without progress after which a flow is abandoned.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial sequence number of a caller.
const INITIAL_SEQ: u32 = 1;

/// State of the caller's end of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Requesting,
    Receiving,
    Closing,
}

/// Result of processing a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// No change of state that is counted.
    None,
    /// The handshake completed.
    Established,
    /// A response or a chunk of a download arrived.
    Response {
        /// Whether it came from the requested service.
        from_requested_service: bool,
        /// Whether it is the first of the flow.
        first: bool,
    },
    /// The flow was closed in order.
    Finished,
    /// The flow was reset during its handshake.
    Refused,
    /// The established flow was reset.
    Reset,
    /// The segment belongs to an older flow with the same addresses, which the
    /// caller resets.
    Stale,
}

impl Event {
    /// Returns whether the caller sends an acknowledgement immediately.
    pub(crate) fn needs_acknowledgement(self) -> bool {
        matches!(self, Self::Response { .. } | Self::Finished)
    }

    /// Returns whether the flow has ended.
    pub(crate) fn ends_flow(self) -> bool {
        matches!(self, Self::Finished | Self::Refused | Self::Reset)
    }
}

/// Action that is due for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// No action is due.
    None,
    /// Send or retransmit the current segment.
    Send,
    /// Abandon the flow, which has timed out before or after it was established.
    Abandon { established: bool },
}

/// The caller's end of a TCP flow.
///
/// It either sends requests one at a time, each after the response to the
/// previous one, or requests a download and then only receives.
#[derive(Debug)]
pub(crate) struct CallerFlow {
    /// Time at which the flow was opened.
    pub(crate) opened_at: Instant,
    state: State,
    is_download: bool,
    seq: u32,
    ack: u32,
    responses: u32,
    send_count: u32,
    next_send: Instant,
    abandon_at: Instant,
}

impl CallerFlow {
    /// Creates a flow whose SYN is due immediately.
    pub(crate) fn open(now: Instant, is_download: bool) -> Self {
        Self {
            opened_at: now,
            state: State::Opening,
            is_download,
            seq: INITIAL_SEQ,
            ack: 0,
            responses: 0,
            send_count: 0,
            next_send: now,
            abandon_at: now + IDLE_TIMEOUT,
        }
    }

    /// Returns the action that is due and schedules the next retransmission.
    pub(crate) fn poll(&mut self, now: Instant) -> Action {
        if self.abandon_at <= now {
            let established = self.state != State::Opening;
            return Action::Abandon { established };
        }
        if self.state == State::Receiving || self.next_send > now {
            return Action::None;
        }
        self.next_send =
            now + INITIAL_RETRANSMIT_TIMEOUT * (1 << self.send_count.min(MAX_DOUBLINGS));
        self.send_count += 1;
        Action::Send
    }

    /// Processes a segment of the flow.
    pub(crate) fn process(
        &mut self,
        now: Instant,
        settings: &CallerSettings,
        segment: &Segment,
    ) -> Event {
        if segment.flags.rst {
            return self.process_reset(segment);
        }
        match self.state {
            State::Opening if segment.flags.syn => self.establish(now, segment),
            State::Opening => Event::Stale,
            State::Requesting | State::Receiving => {
                self.abandon_at = self.abandon_at.max(now + IDLE_TIMEOUT);
                self.process_payload(now, settings, segment)
            }
            State::Closing if segment.flags.fin => {
                self.ack = segment.next_seq();
                self.seq = segment.ack;
                Event::Finished
            }
            State::Closing => Event::None,
        }
    }

    /// Returns the segment to send in the current state.
    pub(crate) fn segment(&self, settings: &CallerSettings, port: u16) -> Segment {
        let (flags, payload) = match self.state {
            State::Opening => (Flags::SYN, Vec::new()),
            State::Requesting => (Flags::ACK, self.request(settings)),
            State::Receiving => (Flags::ACK, Vec::new()),
            State::Closing => (Flags::FIN_ACK, Vec::new()),
        };
        Segment {
            flags,
            payload,
            ..self.acknowledgement(settings, port)
        }
    }

    /// Returns an ACK without a payload.
    pub(crate) fn acknowledgement(&self, settings: &CallerSettings, port: u16) -> Segment {
        Segment {
            from: std::net::SocketAddrV4::new(settings.ip, port),
            to: settings.service_address,
            seq: self.seq,
            ack: self.ack,
            flags: Flags::ACK,
            payload: Vec::new(),
        }
    }

    fn request(&self, settings: &CallerSettings) -> Vec<u8> {
        if self.is_download {
            let CallerSettings {
                chunks, chunk_ms, ..
            } = settings;
            format!("download {chunks} {chunk_ms}").into_bytes()
        } else {
            format!("request {}", self.responses).into_bytes()
        }
    }

    fn process_reset(&self, segment: &Segment) -> Event {
        // Validate the reset as a kernel does, so that a late or forged one doesn't end the flow.
        let next = self.seq.wrapping_add(1);
        match self.state {
            State::Opening if segment.flags.ack && segment.ack == next => Event::Refused,
            State::Opening => Event::None,
            _ if segment.seq == self.ack => Event::Reset,
            _ => Event::None,
        }
    }

    fn establish(&mut self, now: Instant, segment: &Segment) -> Event {
        if segment.ack != self.seq.wrapping_add(1) {
            return Event::Stale;
        }
        self.state = State::Requesting;
        self.advance(segment);
        self.schedule_send(now);
        Event::Established
    }

    fn process_payload(
        &mut self,
        now: Instant,
        settings: &CallerSettings,
        segment: &Segment,
    ) -> Event {
        if segment.payload.is_empty() {
            return Event::None;
        }
        if segment.seq != self.ack {
            // A retransmitted response: its acknowledgement may have been lost.
            return Event::Response {
                from_requested_service: true,
                first: false,
            };
        }
        self.advance(segment);
        self.responses += 1;
        let (state, expected) = if self.is_download {
            (State::Receiving, settings.chunks)
        } else {
            (State::Requesting, settings.requests)
        };
        self.state = state;
        if self.responses >= expected {
            self.state = State::Closing;
        }
        let pause = if self.is_download {
            0
        } else {
            settings.pause_ms
        };
        self.schedule_send(now + Duration::from_millis(pause));
        Event::Response {
            from_requested_service: is_sent_by(&settings.service, &segment.payload),
            first: self.responses == 1,
        }
    }

    fn advance(&mut self, segment: &Segment) {
        self.seq = segment.ack;
        self.ack = segment.next_seq();
    }

    fn schedule_send(&mut self, at: Instant) {
        self.send_count = 0;
        self.next_send = at;
        self.abandon_at = at + IDLE_TIMEOUT;
    }
}

/// Returns whether a response carries `service` as its sender.
fn is_sent_by(service: &str, payload: &[u8]) -> bool {
    payload
        .strip_prefix(service.as_bytes())
        .is_some_and(|rest| rest.first() == Some(&b'/'))
}
