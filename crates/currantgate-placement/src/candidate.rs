//! One upstream with what this entry saw of it.

use std::time::Instant;

use crate::slowness::Slowness;
use crate::suspicion::Suspicion;
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
    /// The place of its failure domain among those of the entry.
    pub(crate) domain: usize,
    pub(crate) suspicion: Suspicion,
    /// When a flow was last answered there.
    answered: Option<Instant>,
    slowness: Slowness,
}

impl Candidate {
    pub(crate) fn new(target: Target, domain: usize) -> Self {
        Self {
            target,
            is_open: true,
            flows: 0,
            domain,
            suspicion: Suspicion::default(),
            answered: None,
            slowness: Slowness::default(),
        }
    }

    /// Returns the flows a slot that one more flow would make, with what the
    /// way there counts.
    pub(crate) fn load_with_one_more(&self, now: Instant, settings: &PlacementSettings) -> f64 {
        let is_cold = now < self.target.warm_at;
        let speed = if is_cold {
            settings.cold_speed_factor
        } else {
            1.0
        };
        let capacity = f64::from(self.target.slots.max(1)) * speed;
        let way = if self.target.is_local {
            0.0
        } else {
            settings.remote_domain_penalty
        };
        f64::from(self.flows + 1) * self.slowness.times_usual(now, settings) / capacity + way
    }

    /// Notes how long a flow was open that ended there, in times the usual.
    pub(crate) fn note_pace(
        &mut self,
        now: Instant,
        times_usual: f64,
        settings: &PlacementSettings,
    ) {
        self.slowness.note(now, times_usual, settings);
    }

    /// Notes that a flow was answered; tells whether that ends a doubt.
    pub(crate) fn note_answer(&mut self, now: Instant) -> bool {
        self.answered = Some(now);
        self.suspicion.clear()
    }

    /// Tells whether a first packet sent at `sent` was lost on the way, as
    /// others were answered since.
    pub(crate) fn has_answered_since(&self, sent: Instant) -> bool {
        self.answered.is_some_and(|answered| answered >= sent)
    }
}
