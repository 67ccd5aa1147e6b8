//! Doubt that an upstream, or a whole failure domain, answers.

use std::time::Instant;

use crate::PlacementSettings;

/// Doubt that something answers: it is avoided for a while, longer each time,
/// and then one flow at a time finds out whether it answers again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    until: Option<Instant>,
    times_in_a_row: u32,
    /// First packets that are on their way there.
    opening: u32,
}

impl Suspicion {
    /// Tells whether new flows should go elsewhere.
    pub(crate) fn holds(&self, now: Instant) -> bool {
        self.until
            .is_some_and(|until| now < until || self.opening > 0)
    }

    /// Avoids it from now on for a while; returns until when, unless it is
    /// avoided already.
    pub(crate) fn raise(&mut self, now: Instant, settings: &PlacementSettings) -> Option<Instant> {
        if self.until.is_some_and(|until| now < until) {
            return None;
        }
        let doublings = self.times_in_a_row.min(settings.max_suspicion_doublings);
        self.times_in_a_row += 1;
        self.until = Some(now + settings.base_suspicion_time * (1 << doublings));
        self.until
    }

    /// Ends the doubt; tells whether there was any.
    pub(crate) fn clear(&mut self) -> bool {
        self.times_in_a_row = 0;
        self.until.take().is_some()
    }

    pub(crate) fn note_opening(&mut self) {
        self.opening += 1;
    }

    pub(crate) fn note_settled(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }
}
