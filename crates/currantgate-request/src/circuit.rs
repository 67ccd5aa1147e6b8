//! Circuit breaker of one upstream.

use std::time::{Duration, Instant};

use crate::Settings;

/// Circuit breaker of one upstream: consecutive failures open it, and after a backoff
/// it admits one probe at a time until a response closes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Circuit {
    /// Attempts are admitted; the number is the count of consecutive failures.
    Closed(u32),
    /// No attempt is admitted until the instant; the duration is the current backoff,
    /// which doubles if the probe fails.
    Open(Instant, Duration),
    /// One probe at a time is admitted; the duration is the backoff to double if it fails.
    HalfOpen(Duration),
}

impl Circuit {
    /// Returns whether an upstream with `running` attempts may get another one.
    pub(crate) fn admits(&self, now: Instant, running: usize) -> bool {
        match self {
            Self::Closed(_) => true,
            Self::Open(until, _) => *until <= now && running == 0,
            Self::HalfOpen(_) => running == 0,
        }
    }

    /// Returns whether attempts are admitted without probing.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self, Self::Closed(_))
    }

    /// Records the start of an attempt, which is the probe if the circuit is open.
    pub(crate) fn on_start(&mut self) {
        if let Self::Open(_, backoff) = *self {
            *self = Self::HalfOpen(backoff);
        }
    }

    /// Records a successful response; returns whether it closed a half-open circuit.
    pub(crate) fn on_success(&mut self) -> bool {
        let was_half_open = matches!(self, Self::HalfOpen(_));
        if !matches!(self, Self::Open(..)) {
            *self = Self::Closed(0);
        }
        was_half_open
    }

    /// Records a failure.
    pub(crate) fn on_failure(&mut self, now: Instant, settings: &Settings) {
        match *self {
            Self::Closed(n) if n + 1 < settings.circuit_failures => *self = Self::Closed(n + 1),
            Self::Closed(_) => self.open(now, settings.circuit_backoff),
            Self::HalfOpen(backoff) => {
                self.open(now, (backoff * 2).min(settings.circuit_max_backoff));
            }
            Self::Open(..) => {}
        }
    }

    /// Records a failed connect, which is unambiguous and opens a closed circuit at once.
    pub(crate) fn on_connect_failure(&mut self, now: Instant, settings: &Settings) {
        if matches!(self, Self::Closed(_)) {
            self.open(now, settings.circuit_backoff);
        } else {
            self.on_failure(now, settings);
        }
    }

    /// Returns when an open circuit admits its next probe.
    pub(crate) fn open_until(&self) -> Option<Instant> {
        match self {
            Self::Open(until, _) => Some(*until),
            Self::Closed(_) | Self::HalfOpen(_) => None,
        }
    }

    fn open(&mut self, now: Instant, backoff: Duration) {
        *self = Self::Open(now + backoff, backoff);
    }
}
