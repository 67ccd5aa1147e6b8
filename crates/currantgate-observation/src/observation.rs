//! What entries report of upstreams, and what they are told in return.

use serde::{Deserialize, Serialize};

/// Identifies an upstream; all entries derive the same key of the same upstream.
pub type UpstreamKey = u32;

/// Flows that ended at an upstream since its entry's last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The upstream.
    pub key: UpstreamKey,
    /// Number of flows.
    pub flows: u16,
    /// Sum over these flows of how many times longer they lasted than is usual at
    /// their service. A flow that was refused, failed or not answered counts as one
    /// that lasted very long.
    pub slowness_sum: f32,
    /// Sum of their durations divided by the upstream's slots, in milliseconds: the
    /// time for which they alone would have filled all slots.
    pub busy_ms: u32,
}

/// The slowness of an upstream, from many flows of several entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowUpstream {
    /// The upstream.
    pub key: UpstreamKey,
    /// How many times longer than usual flows last there, rounded;
    /// [`NORMAL_SLOWNESS`] for an upstream that is no longer slow.
    pub slowness: u8,
}

/// Slowness of an upstream that is not slow.
pub const NORMAL_SLOWNESS: u8 = 1;

/// Returns the changes from the list `before` to the list `after`. Both are sorted by
/// key.
pub fn slowness_changes(before: &[SlowUpstream], after: &[SlowUpstream]) -> Vec<SlowUpstream> {
    let recovered = before.iter().filter(|slow| find(after, slow.key).is_none());
    let recovered = recovered.map(|slow| SlowUpstream {
        key: slow.key,
        slowness: NORMAL_SLOWNESS,
    });
    let changed = after
        .iter()
        .filter(|slow| find(before, slow.key) != Some(slow));
    recovered.chain(changed.copied()).collect()
}

fn find(list: &[SlowUpstream], key: UpstreamKey) -> Option<&SlowUpstream> {
    let index = list.binary_search_by_key(&key, |slow| slow.key).ok()?;
    list.get(index)
}
