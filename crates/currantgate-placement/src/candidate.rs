//! An upstream that may get new flows, as this entry observes it.

use std::time::{Duration, Instant};

use crate::permits::PERMIT_PREFERENCE;
use crate::slowness::Slowness;
use crate::suspicion::Suspicion;
use crate::{PlacementSettings, Target};

/// Health of an upstream, from the most to the least preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// Reports arrive, and first packets are answered.
    Healthy,
    /// The upstream or its domain left first packets unanswered a short time ago.
    Suspect,
    /// No reports arrive.
    NotReporting,
}

/// An upstream with the state that this entry has of it.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) target: Target,
    /// Whether the upstream may get new flows.
    pub(crate) is_eligible: bool,
    /// Number of flows that this entry has open there.
    pub(crate) flows: u32,
    /// Index of the failure domain among those of the entry.
    pub(crate) domain: usize,
    pub(crate) suspicion: Suspicion,
    /// Time of the last answer to a first packet.
    last_answer: Option<Instant>,
    slowness: Slowness,
    /// Slowness that the fleet observes; 1 when it is not slow.
    pub(crate) fleet_slowness: f64,
    /// Part of its slots that is reserved for this entry, from 0 to 1.
    pub(crate) reserved: f64,
    /// Moving average of the time that handshakes with it take.
    handshake_time: Duration,
}

impl Candidate {
    /// Returns an upstream without flows that is not suspected.
    pub(crate) fn new(target: Target, domain: usize) -> Self {
        Self {
            target,
            is_eligible: true,
            flows: 0,
            domain,
            suspicion: Suspicion::default(),
            last_answer: None,
            slowness: Slowness::default(),
            fleet_slowness: 1.0,
            reserved: 0.0,
            handshake_time: Duration::ZERO,
        }
    }

    /// Returns the speed relative to that of a warm upstream.
    pub(crate) fn speed(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        if now < self.target.warm_at {
            settings.cold_speed_factor
        } else {
            1.0
        }
    }

    /// Returns the load that one more flow would cause, in flows per slot. It is
    /// weighted by the upstream's speed and includes the penalty for another failure
    /// domain if the flow prefers the entry's own. What the fleet observes counts unless the
    /// flow is a probe.
    pub(crate) fn load_with_one_more(
        &self,
        now: Instant,
        is_probe: bool,
        prefers_own_domain: bool,
        settings: &PlacementSettings,
    ) -> f64 {
        let speed = self.speed(now, settings);
        let slowness = self.observed_slowness(now, is_probe, settings);
        self.load_at(speed, slowness, prefers_own_domain, settings)
    }

    /// Returns the load that one more flow would cause at a cold upstream with a permit.
    ///
    /// It counts as a warm one: permits keep its load low, and would expire unused if any
    /// idle warm upstream came before it.
    pub(crate) fn load_with_permit(
        &self,
        now: Instant,
        is_probe: bool,
        settings: &PlacementSettings,
    ) -> f64 {
        let slowness = self.observed_slowness(now, is_probe, settings);
        let beyond_cold = (slowness * settings.cold_speed_factor).max(1.0);
        self.load_at(1.0, beyond_cold, true, settings) - PERMIT_PREFERENCE
    }

    /// Returns the slowness that this entry or, unless the flow is a probe, the fleet
    /// observes.
    fn observed_slowness(&self, now: Instant, is_probe: bool, settings: &PlacementSettings) -> f64 {
        let fleet_slowness = if is_probe { 1.0 } else { self.fleet_slowness };
        self.slowness.factor(now, settings).max(fleet_slowness)
    }

    fn load_at(
        &self,
        speed: f64,
        slowness: f64,
        prefers_own_domain: bool,
        settings: &PlacementSettings,
    ) -> f64 {
        let capacity = f64::from(self.target.slots.max(1)) * speed;
        let penalty = if self.target.is_local || !prefers_own_domain {
            0.0
        } else {
            settings.remote_domain_penalty
        };
        f64::from(self.flows + 1) * slowness / capacity + penalty
    }

    /// Returns the slots that flows of the whole fleet can use, those of a slow upstream
    /// at its speed.
    pub(crate) fn usable_slots(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        let is_dead = self.fleet_slowness >= settings.sharing.dead_slowness;
        if !self.target.is_reporting || now < self.target.warm_at || is_dead {
            return 0.0;
        }
        f64::from(self.target.slots) / self.fleet_slowness.max(1.0)
    }

    /// Tells whether this entry has a free slot at a slow upstream of its domain that is
    /// reserved for it. When the fleet has more demand than slots, a slow slot is better
    /// than a queue.
    pub(crate) fn has_reserved_slot(&self, settings: &PlacementSettings) -> bool {
        self.target.is_local
            && self.reserved > 0.5
            && self.flows < self.target.slots
            && self.fleet_slowness > 1.0
            && self.fleet_slowness < settings.sharing.dead_slowness
    }

    /// Records how long the handshake of a flow took.
    pub(crate) fn record_handshake_time(&mut self, time: Duration) {
        self.handshake_time = if self.handshake_time.is_zero() {
            time
        } else {
            // One in ten: the time differs little between the flows of an upstream.
            (self.handshake_time * 9 + time) / 10
        };
    }

    /// Returns the time that a flow of the given duration was in a slot or waited for one.
    ///
    /// The first packet and the last one each arrive a handshake time before and after
    /// the upstream works on the request.
    pub(crate) fn slot_time(&self, duration: Duration) -> Duration {
        duration.saturating_sub(2 * self.handshake_time)
    }

    /// Returns the part of a slot time that it would take at a warm upstream which is not
    /// slow.
    pub(crate) fn relative_speed(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        self.speed(now, settings) / self.fleet_slowness.max(1.0)
    }

    /// Records the slowness of an ended flow.
    pub(crate) fn record_slowness(
        &mut self,
        now: Instant,
        slowness: f64,
        settings: &PlacementSettings,
    ) {
        self.slowness.record(now, slowness, settings);
    }

    /// Records an answer to a first packet; tells whether it ends a suspicion.
    pub(crate) fn record_answer(&mut self, now: Instant) -> bool {
        self.last_answer = Some(now);
        self.suspicion.clear()
    }

    /// Tells whether another first packet was answered at or after `sent`, so that
    /// one sent at `sent` without an answer was lost on the network.
    pub(crate) fn has_answered_since(&self, sent: Instant) -> bool {
        self.last_answer.is_some_and(|answered| answered >= sent)
    }
}
