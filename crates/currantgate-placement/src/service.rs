//! State of one service as this entry observes it.

use indexmap::IndexSet;

use crate::admission::Admission;
use crate::recent_durations::RecentDurations;
use crate::{ServiceShares, TargetKey};

/// Upstreams of a service that may get new flows, and its admission control.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) keys: IndexSet<TargetKey>,
    pub(crate) admission: Admission,
    pub(crate) recent_durations: RecentDurations,
    /// How new flows are divided among failure domains, by the demand of all entries.
    pub(crate) shares: Option<ServiceShares>,
}
