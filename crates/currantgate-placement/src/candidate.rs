//! One upstream with what this entry saw of it.

use std::time::Instant;

use crate::{PlacementSettings, Target};

/// How willingly an upstream is given a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Trust {
    /// Reports come, and first packets are answered.
    Good,
    /// A first packet went unanswered a short time ago.
    Suspect,
    /// No reports come.
    Unheard,
}

/// One upstream with what this entry saw of it.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) target: Target,
    /// Whether new flows may go there.
    pub(crate) is_open: bool,
    /// The flows that this entry has there.
    pub(crate) flows: u32,
    /// When a flow was last answered there.
    answered: Option<Instant>,
    suspect_until: Option<Instant>,
    unanswered_in_a_row: u32,
}

impl Candidate {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            is_open: true,
            flows: 0,
            answered: None,
            suspect_until: None,
            unanswered_in_a_row: 0,
        }
    }

    pub(crate) fn trust(&self, now: Instant) -> Trust {
        if !self.target.is_heard {
            Trust::Unheard
        } else if self.suspect_until.is_some_and(|until| now < until) {
            Trust::Suspect
        } else {
            Trust::Good
        }
    }

    /// Returns the flows a slot that one more flow would make, with what the
    /// way there counts.
    pub(crate) fn load_with_one_more(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        let is_cold = now < self.target.warm_at;
        let speed = if is_cold { settings.cold_speed } else { 1.0 };
        let capacity = f64::from(self.target.slots.max(1)) * speed;
        let way = if self.target.is_near {
            0.0
        } else {
            settings.far_penalty
        };
        f64::from(self.flows + 1) / capacity + way
    }

    pub(crate) fn note_answer(&mut self, now: Instant) {
        self.answered = Some(now);
        self.suspect_until = None;
        self.unanswered_in_a_row = 0;
    }

    /// Notes that a first packet sent at `sent` is unanswered; one that
    /// answered others since then only lost a packet.
    pub(crate) fn note_silence(
        &mut self,
        now: Instant,
        sent: Instant,
        settings: &PlacementSettings,
    ) {
        if self.answered.is_some_and(|answered| answered >= sent) {
            return;
        }
        let doublings = self.unanswered_in_a_row.min(settings.max_doublings);
        self.unanswered_in_a_row += 1;
        self.suspect_until = Some(now + settings.suspect_for * (1 << doublings));
    }
}
