//! The status of one upstream, as routing uses it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{Service, ServiceId};
use currantgate_membership::{Presence, Upstream, UpstreamState};

/// Minimum share of its weight that an upstream has while it warms up.
const MIN_WARMUP_FACTOR: f64 = 0.1;

/// The status of one upstream, as routing uses it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamStatus {
    /// The service that it announced.
    pub(crate) service: ServiceId,
    /// The address at which it accepts encapsulated packets.
    pub(crate) address: SocketAddr,
    /// Whether its flows continue.
    pub(crate) presence: Presence,
    /// The instant after which it receives no new flows, once it drains.
    pub(crate) last_new_at: Option<Instant>,
    /// Its weight among the upstreams of the service.
    slots: u32,
    warmup_start: Option<Instant>,
    warmup_end: Option<Instant>,
}

impl UpstreamStatus {
    /// Returns the status of an announced upstream, given its status before.
    pub(crate) fn new(
        now: Instant,
        (upstream, presence): (&Upstream, Presence),
        service: Option<&Service>,
        before: Option<&Self>,
    ) -> Self {
        let drain = service.map_or(0, |s| s.leave.drain_delay_ms);
        let warmup = service.map_or(0, |s| s.join.warmup_ms);
        let is_draining = upstream.state == UpstreamState::Draining;
        let is_warming = upstream.state == UpstreamState::Warming;
        let start = before.and_then(|b| b.warmup_start).unwrap_or(now);
        let last_new_at = before.and_then(|b| b.last_new_at);
        Self {
            service: upstream.service,
            address: upstream.address,
            presence,
            last_new_at: is_draining
                .then(|| last_new_at.unwrap_or_else(|| now + Duration::from_millis(drain))),
            slots: upstream.slots.max(1),
            warmup_start: is_warming.then_some(start),
            warmup_end: is_warming.then(|| start + Duration::from_millis(warmup)),
        }
    }

    /// Returns whether buckets may be assigned to it.
    pub(crate) fn accepts_buckets(&self) -> bool {
        self.presence == Presence::Leased && self.last_new_at.is_none()
    }

    /// Returns whether a new flow may go to it at `now`.
    pub(crate) fn accepts_flows(&self, now: Instant) -> bool {
        self.presence == Presence::Leased && self.last_new_at.is_none_or(|last| now < last)
    }

    /// Returns its current weight, which is reduced during the warm-up.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        f64::from(self.slots) * self.warmup_factor(now)
    }

    fn warmup_factor(&self, now: Instant) -> f64 {
        let (Some(from), Some(at)) = (self.warmup_start, self.warmup_end) else {
            return 1.0;
        };
        let total = at.saturating_duration_since(from).as_secs_f64();
        let elapsed = now.saturating_duration_since(from).as_secs_f64();
        if elapsed >= total {
            return 1.0;
        }
        (elapsed / total).max(MIN_WARMUP_FACTOR)
    }
}
