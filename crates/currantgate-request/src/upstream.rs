//! State of one upstream.

use std::time::Instant;

use currantgate_config::ServiceId;
use indexmap::IndexSet;

use crate::circuit::Circuit;
use crate::connection::ConnectionState;
use crate::decaying_average::DecayingAverage;
use crate::limit::ConcurrencyLimit;
use crate::{AttemptId, Settings, UpstreamView};

/// Lower bound of the expected latency in seconds, which also stands in for an
/// upstream without samples.
const MIN_EXPECTED_LATENCY_SECONDS: f64 = 0.001;

/// State that the dispatcher keeps for one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) service: ServiceId,
    pub(crate) connection: ConnectionState,
    pub(crate) circuit: Circuit,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) latency: DecayingAverage,
    /// Attempts that hold a slot of the upstream.
    pub(crate) attempts: IndexSet<AttemptId>,
    /// Whether it gets no new attempts and is removed when its last attempt ends.
    pub(crate) draining: bool,
}

impl Upstream {
    /// Returns the state of a new upstream, without a connection or attempts.
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
            draining: false,
        }
    }

    /// Returns whether the upstream may get another attempt at `now`.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        let running = self.attempts.len();
        !self.draining
            && !self.connection.awaits_pong()
            && self.circuit.admits(now, running)
            && self.limit.admits(now, running)
    }

    /// Returns the expected latency in seconds, weighted by the share of the
    /// concurrency limit in use with one more attempt; upstreams are compared by it.
    pub(crate) fn cost(&self, now: Instant) -> f64 {
        let share = (self.attempts.len() + 1) as f64 / self.limit.get() as f64;
        share * self.expected_latency(now)
    }

    /// Returns the expected time to a response, in seconds.
    pub(crate) fn expected_latency(&self, now: Instant) -> f64 {
        self.latency
            .seconds_at(now)
            .max(MIN_EXPECTED_LATENCY_SECONDS)
    }

    /// Returns when the upstream admits attempts again, if only a circuit backoff
    /// or a cooldown prevents that.
    pub(crate) fn available_at(&self) -> Option<Instant> {
        let cooldown_until = self.limit.cooldown_until();
        let available = self
            .circuit
            .open_until()
            .map_or(cooldown_until, |until| until.max(cooldown_until));
        // At that instant both pauses are over, so `admits` checks the other conditions.
        self.admits(available).then_some(available)
    }

    /// Returns whether the keepalive timer applies: attempts are open or a PING is outstanding.
    pub(crate) fn monitors_connection(&self) -> bool {
        !self.attempts.is_empty() || self.connection.awaits_pong()
    }

    /// Returns the next deadline of the connection: its connect timeout or keepalive timer.
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
