//! State of one service as this entry observes it.

use indexmap::IndexSet;

use crate::TargetKey;
use crate::admission::Admission;
use crate::recent_durations::RecentDurations;

/// Upstreams of a service that may get new flows, and its admission control.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) keys: IndexSet<TargetKey>,
    pub(crate) admission: Admission,
    pub(crate) recent_durations: RecentDurations,
}
