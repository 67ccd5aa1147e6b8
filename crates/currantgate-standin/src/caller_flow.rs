//! A caller's side of one TCP flow.

use std::time::{Duration, Instant};

use crate::CallerSettings;
use crate::segment::{Flags, Segment};

/// Silence after which a segment is sent again; it doubles with each time.
const FIRST_RETRANSMIT: Duration = Duration::from_millis(250);

/// How often the silence doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Silence after which a flow is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

/// The first sequence number that a caller uses.
const FIRST_SEQ: u32 = 1;

/// The stages of a caller's side of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening,
    Asking,
    Listening,
    Closing,
}

/// What a segment did to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Nothing that counts.
    Nothing,
    /// The handshake is done.
    Established,
    /// A part of an answer came.
    Answered {
        /// It came from the service that was asked.
        right_service: bool,
        /// It is the first of the flow.
        first: bool,
    },
    /// The flow ran to its end.
    Finished,
    /// The flow was refused.
    Refused,
    /// The established flow was reset.
    Reset,
    /// The segment is of an older flow with the same addresses, which the
    /// caller resets.
    Stale,
}

impl Event {
    /// Tells whether the caller acknowledges at once.
    pub(crate) fn acknowledges(self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Finished)
    }

    /// Tells whether the flow is over.
    pub(crate) fn ends(self) -> bool {
        matches!(self, Self::Finished | Self::Refused | Self::Reset)
    }
}

/// What is due about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Nothing yet.
    Nothing,
    /// The current segment is to be sent.
    Send,
    /// The flow is given up; it was established or not.
    GiveUp { established: bool },
}

/// A caller's side of one TCP flow.
///
/// It either sends requests, each once the one before was answered, or asks
/// for a download and only listens from then on.
#[derive(Debug)]
pub(crate) struct CallerFlow {
    /// When the flow was opened.
    pub(crate) opened_at: Instant,
    stage: Stage,
    listens: bool,
    seq: u32,
    ack: u32,
    answers: u32,
    sends: u32,
    next_send: Instant,
    give_up: Instant,
}

impl CallerFlow {
    /// Returns a flow whose first segment is due.
    pub(crate) fn open(now: Instant, listens: bool) -> Self {
        Self {
            opened_at: now,
            stage: Stage::Opening,
            listens,
            seq: FIRST_SEQ,
            ack: 0,
            answers: 0,
            sends: 0,
            next_send: now,
            give_up: now + GIVE_UP_AFTER,
        }
    }

    /// Returns what is due, and takes it as done.
    pub(crate) fn poll(&mut self, now: Instant) -> Due {
        if self.give_up <= now {
            let established = self.stage != Stage::Opening;
            return Due::GiveUp { established };
        }
        if self.stage == Stage::Listening || self.next_send > now {
            return Due::Nothing;
        }
        self.next_send = now + FIRST_RETRANSMIT * (1 << self.sends.min(MAX_DOUBLINGS));
        self.sends += 1;
        Due::Send
    }

    /// Takes a segment of the flow.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        settings: &CallerSettings,
        segment: &Segment,
    ) -> Event {
        if segment.flags.rst {
            return self.take_reset(segment);
        }
        match self.stage {
            Stage::Opening if segment.flags.syn => self.establish(now, segment),
            Stage::Opening => Event::Stale,
            Stage::Asking | Stage::Listening => {
                self.give_up = self.give_up.max(now + GIVE_UP_AFTER);
                self.take_payload(now, settings, segment)
            }
            Stage::Closing if segment.flags.fin => {
                self.ack = segment.next_seq();
                self.seq = segment.ack;
                Event::Finished
            }
            Stage::Closing => Event::Nothing,
        }
    }

    /// Returns the segment that the stage asks for.
    pub(crate) fn segment(&self, settings: &CallerSettings, port: u16) -> Segment {
        let (flags, payload) = match self.stage {
            Stage::Opening => (Flags::SYN, Vec::new()),
            Stage::Asking => (Flags::ACK, self.request(settings)),
            Stage::Listening => (Flags::ACK, Vec::new()),
            Stage::Closing => (Flags::FIN_ACK, Vec::new()),
        };
        Segment {
            flags,
            payload,
            ..self.acknowledgement(settings, port)
        }
    }

    /// Returns the segment that only acknowledges.
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
        if self.listens {
            let CallerSettings {
                chunks, chunk_ms, ..
            } = settings;
            format!("download {chunks} {chunk_ms}").into_bytes()
        } else {
            format!("request {}", self.answers).into_bytes()
        }
    }

    fn take_reset(&self, segment: &Segment) -> Event {
        // As a kernel does, so that no late or forged reset ends the flow.
        let next = self.seq.wrapping_add(1);
        match self.stage {
            Stage::Opening if segment.flags.ack && segment.ack == next => Event::Refused,
            Stage::Opening => Event::Nothing,
            _ if segment.seq == self.ack => Event::Reset,
            _ => Event::Nothing,
        }
    }

    fn establish(&mut self, now: Instant, segment: &Segment) -> Event {
        if segment.ack != self.seq.wrapping_add(1) {
            return Event::Stale;
        }
        self.stage = Stage::Asking;
        self.advance(segment);
        self.send_at(now);
        Event::Established
    }

    fn take_payload(
        &mut self,
        now: Instant,
        settings: &CallerSettings,
        segment: &Segment,
    ) -> Event {
        if segment.payload.is_empty() {
            return Event::Nothing;
        }
        if segment.seq != self.ack {
            // An answer that came before: its acknowledgement may be lost.
            return Event::Answered {
                right_service: true,
                first: false,
            };
        }
        self.advance(segment);
        self.answers += 1;
        let (stage, wanted) = if self.listens {
            (Stage::Listening, settings.chunks)
        } else {
            (Stage::Asking, settings.requests)
        };
        self.stage = stage;
        if self.answers >= wanted {
            self.stage = Stage::Closing;
        }
        let pause = if self.listens { 0 } else { settings.pause_ms };
        self.send_at(now + Duration::from_millis(pause));
        Event::Answered {
            right_service: is_from(&settings.service, &segment.payload),
            first: self.answers == 1,
        }
    }

    fn advance(&mut self, segment: &Segment) {
        self.seq = segment.ack;
        self.ack = segment.next_seq();
    }

    fn send_at(&mut self, at: Instant) {
        self.sends = 0;
        self.next_send = at;
        self.give_up = at + GIVE_UP_AFTER;
    }
}

/// Tells whether an answer names `service` as the one that gave it.
fn is_from(service: &str, payload: &[u8]) -> bool {
    payload
        .strip_prefix(service.as_bytes())
        .is_some_and(|rest| rest.first() == Some(&b'/'))
}
