//! Flows with their upstreams, as exchanged between entries.

use currantgate_config::UpstreamId;
use currantgate_packet::FlowHash;
use serde::{Deserialize, Serialize};

/// A flow and the upstream that it belongs to.
pub(crate) type Pin = (FlowHash, UpstreamId);

/// Size of one flow in a message, in bytes.
pub(crate) const PIN_BYTES: usize = 8;

/// Size of a group's upstream and length in a message, in bytes.
pub(crate) const GROUP_BYTES: usize = 10;

/// Flows that belong to one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinGroup {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The flow hashes as big-endian bytes; encoded as numbers, each would take
    /// nine bytes.
    pub flows: Vec<[u8; 8]>,
}

/// Groups pins by upstream, in the order of their first flows.
pub(crate) fn group(pins: &[Pin]) -> Vec<PinGroup> {
    let mut groups: Vec<PinGroup> = Vec::new();
    for (hash, upstream) in pins {
        let flow = hash.to_be_bytes();
        match groups.iter_mut().find(|g| g.upstream == *upstream) {
            Some(found) => found.flows.push(flow),
            None => groups.push(PinGroup {
                upstream: *upstream,
                flows: vec![flow],
            }),
        }
    }
    groups
}

/// Returns the pins of all groups.
pub(crate) fn ungroup(groups: &[PinGroup]) -> impl Iterator<Item = Pin> {
    groups.iter().flat_map(|g| {
        let pin = |flow: &[u8; 8]| (u64::from_be_bytes(*flow), g.upstream);
        g.flows.iter().map(pin)
    })
}

/// Returns how many of the first `pins` fit in `bytes` bytes.
pub(crate) fn count_fitting(pins: &[Pin], bytes: usize) -> usize {
    let mut seen = Vec::new();
    let mut left = bytes;
    for (i, (_, upstream)) in pins.iter().enumerate() {
        let known = seen.contains(upstream);
        let cost = PIN_BYTES + if known { 0 } else { GROUP_BYTES };
        if cost > left {
            return i;
        }
        left -= cost;
        if !known {
            seen.push(*upstream);
        }
    }
    pins.len()
}
