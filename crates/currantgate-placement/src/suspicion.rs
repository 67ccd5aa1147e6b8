//! Suspicion that an upstream, or a whole failure domain, does not answer.

use std::time::Instant;

use crate::PlacementSettings;

/// Suspicion that an upstream or a failure domain does not answer.
///
/// A suspect is avoided for a time that doubles with each consecutive suspicion.
/// After that, one flow at a time probes whether it answers again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    /// End of the time of avoidance; nothing when there is no suspicion.
    until: Option<Instant>,
    /// Number of suspicions since the last answer.
    consecutive: u32,
    /// Number of first packets that are sent and not yet answered or given up.
    pending_first_packets: u32,
}

impl Suspicion {
    /// Tells whether new flows should go elsewhere.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        self.until
            .is_some_and(|until| now < until || self.pending_first_packets > 0)
    }

    /// Starts a time of avoidance and returns its end; returns nothing when one is
    /// in force already.
    pub(crate) fn raise(&mut self, now: Instant, settings: &PlacementSettings) -> Option<Instant> {
        if self.until.is_some_and(|until| now < until) {
            return None;
        }
        let doublings = self.consecutive.min(settings.max_suspicion_doublings);
        self.consecutive += 1;
        self.until = Some(now + settings.base_suspicion_time * (1 << doublings));
        self.until
    }

    /// Ends the suspicion; tells whether there was one.
    pub(crate) fn clear(&mut self) -> bool {
        self.consecutive = 0;
        self.until.take().is_some()
    }

    /// Counts a first packet as sent.
    pub(crate) fn record_first_packet(&mut self) {
        self.pending_first_packets += 1;
    }

    /// Counts a first packet as answered or given up.
    pub(crate) fn settle_first_packet(&mut self) {
        self.pending_first_packets = self.pending_first_packets.saturating_sub(1);
    }
}
