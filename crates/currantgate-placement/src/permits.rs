//! Cold upstreams that get new flows only with a permit.

use std::time::Instant;

use indexmap::IndexSet;

use crate::{Target, TargetKey};

/// Decrease of the load of a cold upstream with a permit, which makes it the first among
/// equals: its permit expires soon. It is less than any difference of loads.
pub(crate) const PERMIT_PREFERENCE: f64 = 1e-4;

/// Cold upstreams that get new flows only with a permit.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// Upstreams that need a permit while they are cold.
    pub(crate) limited: IndexSet<TargetKey>,
    /// Upstreams that there is a permit for.
    pub(crate) permitted: IndexSet<TargetKey>,
}

impl Permits {
    /// Tells whether an upstream gets a new flow only with a permit at the moment.
    pub(crate) fn needs_permit(&self, now: Instant, target: &Target) -> bool {
        now < target.warm_at && self.limited.contains(&target.key)
    }
}
