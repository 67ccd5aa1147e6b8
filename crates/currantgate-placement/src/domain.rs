//! What an entry saw of one failure domain.

use std::time::Instant;

use indexmap::IndexSet;

use crate::suspicion::Suspicion;
use crate::{PlacementSettings, TargetKey};

/// Upstreams of a domain that must be silent, with no answer of another in
/// between, for the domain to count as cut off: one alone has crashed.
const SILENT_UPSTREAMS: usize = 2;

/// What an entry saw of one failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain {
    pub(crate) suspicion: Suspicion,
    silent: IndexSet<TargetKey>,
}

impl Domain {
    /// Notes an answer of one of its upstreams; tells whether that ends a doubt.
    pub(crate) fn note_answer(&mut self) -> bool {
        self.silent.clear();
        self.suspicion.clear()
    }

    /// Notes that one of its upstreams is silent; returns until when the domain
    /// is avoided, if it is from now on.
    pub(crate) fn note_silence(
        &mut self,
        now: Instant,
        key: TargetKey,
        settings: &PlacementSettings,
    ) -> Option<Instant> {
        self.silent.insert(key);
        if self.silent.len() < SILENT_UPSTREAMS {
            return None;
        }
        self.suspicion.raise(now, settings)
    }
}
