//! Keeps work away from a failing upstream.

use std::time::{Duration, Instant};

use crate::Settings;

/// Keeps work away from a failing upstream and lets it back one probe at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Circuit {
    /// Work flows; the number counts failures in a row.
    Closed(u32),
    /// No work until the instant; the pause is doubled if the probe fails.
    Open(Instant, Duration),
    /// One probe at a time may run.
    HalfOpen(Duration),
}

impl Circuit {
    /// Tells whether an upstream with `running` attempts may get another.
    pub(crate) fn admits(&self, now: Instant, running: usize) -> bool {
        match self {
            Self::Closed(_) => true,
            Self::Open(until, _) => *until <= now && running == 0,
            Self::HalfOpen(_) => running == 0,
        }
    }

    /// Tells whether work flows without probing.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self, Self::Closed(_))
    }

    /// Notes that an attempt starts, which makes it the probe of an open circuit.
    pub(crate) fn start(&mut self) {
        if let Self::Open(_, pause) = *self {
            *self = Self::HalfOpen(pause);
        }
    }

    /// Notes an answer; tells whether it closed the circuit.
    pub(crate) fn succeed(&mut self) -> bool {
        let reopened = matches!(self, Self::HalfOpen(_));
        if !matches!(self, Self::Open(..)) {
            *self = Self::Closed(0);
        }
        reopened
    }

    /// Notes a failure.
    pub(crate) fn fail(&mut self, now: Instant, settings: &Settings) {
        match *self {
            Self::Closed(n) if n + 1 < settings.circuit_failures => *self = Self::Closed(n + 1),
            Self::Closed(_) => self.open(now, settings.circuit_backoff),
            Self::HalfOpen(pause) => {
                self.open(now, (pause * 2).min(settings.circuit_max_backoff));
            }
            Self::Open(..) => {}
        }
    }

    /// Notes that no connection could be opened, which leaves no doubt.
    pub(crate) fn fail_connect(&mut self, now: Instant, settings: &Settings) {
        if matches!(self, Self::Closed(_)) {
            self.open(now, settings.circuit_backoff);
        } else {
            self.fail(now, settings);
        }
    }

    /// Returns when an open circuit allows its next probe.
    pub(crate) fn until(&self) -> Option<Instant> {
        match self {
            Self::Open(until, _) => Some(*until),
            Self::Closed(_) | Self::HalfOpen(_) => None,
        }
    }

    fn open(&mut self, now: Instant, pause: Duration) {
        *self = Self::Open(now + pause, pause);
    }
}
