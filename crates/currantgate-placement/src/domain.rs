//! State of one failure domain as this entry observes it.

use std::time::Instant;

use indexmap::IndexSet;

use crate::suspicion::Suspicion;
use crate::{PlacementSettings, TargetKey};

/// Number of a domain's upstreams that must leave first packets unanswered, with no
/// answer of another in between, before the domain counts as unreachable. A single
/// one points to a crash of that upstream.
const MIN_SILENT_UPSTREAMS: usize = 2;

/// State of one failure domain as this entry observes it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain {
    pub(crate) suspicion: Suspicion,
    /// Upstreams that left a first packet unanswered since the domain's last answer.
    silent: IndexSet<TargetKey>,
}

impl Domain {
    /// Records an answer of one of the upstreams; tells whether it ends a suspicion.
    pub(crate) fn record_answer(&mut self) -> bool {
        self.silent.clear();
        self.suspicion.clear()
    }

    /// Records that an upstream left a first packet unanswered. Returns the end of
    /// the time of avoidance when one starts for the domain.
    pub(crate) fn record_no_answer(
        &mut self,
        now: Instant,
        key: TargetKey,
        settings: &PlacementSettings,
    ) -> Option<Instant> {
        self.silent.insert(key);
        if self.silent.len() < MIN_SILENT_UPSTREAMS {
            return None;
        }
        self.suspicion.raise(now, settings)
    }
}
