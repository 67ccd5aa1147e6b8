//! What the dispatcher keeps for one upstream.

use std::time::Instant;

use currantgate_config::ServiceId;
use indexmap::IndexSet;

use crate::circuit::Circuit;
use crate::connection::ConnectionState;
use crate::decaying_average::DecayingAverage;
use crate::limit::ConcurrencyLimit;
use crate::{AttemptId, Settings, UpstreamView};

/// Seconds that an upstream without observations is assumed to take.
const UNKNOWN_LATENCY_SECONDS: f64 = 0.001;

/// What the dispatcher keeps for one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) service: ServiceId,
    pub(crate) connection: ConnectionState,
    pub(crate) circuit: Circuit,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) latency: DecayingAverage,
    /// Attempts that hold one of its slots.
    pub(crate) attempts: IndexSet<AttemptId>,
    /// Whether it gets no new work and goes once its attempts have ended.
    pub(crate) leaving: bool,
}

impl Upstream {
    /// Returns an upstream that was seen for the first time.
    pub(crate) fn new(
        service: ServiceId,
        view: &UpstreamView,
        now: Instant,
        settings: &Settings,
    ) -> Self {
        Self {
            service,
            connection: ConnectionState::Idle,
            circuit: Circuit::Closed(0),
            limit: ConcurrencyLimit::new(now, view.slots, view.warming),
            latency: DecayingAverage::new(now, settings.latency_half_life),
            attempts: IndexSet::new(),
            leaving: false,
        }
    }

    /// Tells whether it may get another attempt now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        let running = self.attempts.len();
        !self.leaving
            && !self.connection.awaits_pong()
            && self.circuit.admits(now, running)
            && self.limit.admits(now, running)
    }

    /// Returns the seconds that another attempt is expected to take, for
    /// comparison with other upstreams.
    pub(crate) fn cost(&self, now: Instant) -> f64 {
        let share = (self.attempts.len() + 1) as f64 / self.limit.get() as f64;
        share * self.expected_latency(now)
    }

    /// Returns the seconds that an answer is expected to take.
    pub(crate) fn expected_latency(&self, now: Instant) -> f64 {
        self.latency.seconds_at(now).max(UNKNOWN_LATENCY_SECONDS)
    }

    /// Returns when it may get work again, if only a pause keeps it from that.
    pub(crate) fn wakes_at(&self) -> Option<Instant> {
        let paused = self.limit.cooldown_until();
        let wake = self
            .circuit
            .open_until()
            .map_or(paused, |until| until.max(paused));
        // At that instant only a pause no longer stands in the way.
        self.admits(wake).then_some(wake)
    }

    /// Tells whether silence on its connection means something.
    pub(crate) fn monitors_connection(&self) -> bool {
        !self.attempts.is_empty() || self.connection.awaits_pong()
    }

    /// Returns when its connection next wants to be looked after.
    pub(crate) fn connection_deadline(&self) -> Option<Instant> {
        match &self.connection {
            ConnectionState::Idle => None,
            ConnectionState::Opening(_, deadline) => Some(*deadline),
            ConnectionState::Open(connection) => {
                self.monitors_connection().then(|| connection.deadline())
            }
        }
    }
}
