//! One service with what this entry saw of it.

use indexmap::IndexSet;

use crate::TargetKey;
use crate::admission::Admission;

/// The upstreams of a service that may get new flows, and its room for them.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) keys: IndexSet<TargetKey>,
    pub(crate) admission: Admission,
}
