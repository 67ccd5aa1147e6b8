//! What routing knows of one upstream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{Service, ServiceId};
use currantgate_membership::{Presence, Upstream, UpstreamState};

/// The least share of its weight that a cold upstream gets.
const COLD_SHARE: f64 = 0.1;

/// What routing knows of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// The service that it announced.
    pub(crate) service: ServiceId,
    /// Where it takes encapsulated packets.
    pub(crate) address: SocketAddr,
    /// Whether its flows go on.
    pub(crate) presence: Presence,
    /// The instant at which it gets its last new flow, once it leaves.
    pub(crate) last_new_at: Option<Instant>,
    /// Its part of the service's new flows, relative to others.
    slots: u32,
    warm_from: Option<Instant>,
    warm_at: Option<Instant>,
}

impl Known {
    /// Returns what `upstream` announces, given what was known before.
    pub(crate) fn new(
        now: Instant,
        (upstream, presence): (&Upstream, Presence),
        service: Option<&Service>,
        before: Option<&Self>,
    ) -> Self {
        let drain = service.map_or(0, |s| s.leave.drain_delay_ms);
        let warmup = service.map_or(0, |s| s.join.warmup_ms);
        let leaves = upstream.state == UpstreamState::Draining;
        let warms = upstream.state == UpstreamState::Warming;
        let begun = before.and_then(|b| b.warm_from).unwrap_or(now);
        let left = before.and_then(|b| b.last_new_at);
        Self {
            service: upstream.service,
            address: upstream.address,
            presence,
            last_new_at: leaves.then(|| left.unwrap_or_else(|| now + Duration::from_millis(drain))),
            slots: upstream.slots.max(1),
            warm_from: warms.then_some(begun),
            warm_at: warms.then(|| begun + Duration::from_millis(warmup)),
        }
    }

    /// Tells whether buckets may be given to it.
    pub(crate) fn takes_buckets(&self) -> bool {
        self.presence == Presence::Leased && self.last_new_at.is_none()
    }

    /// Tells whether a new flow may go to it at `now`.
    pub(crate) fn takes_flows(&self, now: Instant) -> bool {
        self.presence == Presence::Leased && self.last_new_at.is_none_or(|last| now < last)
    }

    /// Returns its part of the service's new flows, relative to others.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        f64::from(self.slots) * self.warmth(now)
    }

    fn warmth(&self, now: Instant) -> f64 {
        let (Some(from), Some(at)) = (self.warm_from, self.warm_at) else {
            return 1.0;
        };
        let whole = at.saturating_duration_since(from).as_secs_f64();
        let past = now.saturating_duration_since(from).as_secs_f64();
        if past >= whole {
            return 1.0;
        }
        (past / whole).max(COLD_SHARE)
    }
}
