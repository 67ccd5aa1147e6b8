//! A per-bucket filter that routes most packets without a record lookup.

use currantgate_config::UpstreamId;
use currantgate_packet::FlowHash;

/// Maximum number of flows in a bucket that uses the inline words alone.
const INLINE_FLOWS: usize = 32;

/// Bits per flow in a larger bucket.
const BITS_PER_FLOW: usize = 8;

/// The owner of a stable bucket, and two sets of its flows as bitmaps in which
/// flows may share a bit.
///
/// The first set holds the flows that don't belong to the owner: a flow that is
/// not in it goes to the owner. The second holds the flows of which a packet
/// has passed recently. The data of a small bucket fits in one cache line, so
/// that a packet costs one memory access where a record costs several.
#[derive(Debug, Default)]
#[repr(align(64))]
pub(crate) struct Filter {
    owner: Option<UpstreamId>,
    inline: [(u64, u64); 2],
    heap: Box<[(u64, u64)]>,
}

impl Filter {
    /// Returns empty sets sized for about `flows` flows.
    pub(crate) fn new(owner: Option<UpstreamId>, flows: usize) -> Self {
        let heap = if flows > INLINE_FLOWS {
            let words = (flows * BITS_PER_FLOW / 64).next_power_of_two();
            vec![(0, 0); words].into()
        } else {
            Box::default()
        };
        Self {
            owner,
            heap,
            ..Self::default()
        }
    }

    /// Adds a flow that doesn't belong to the owner.
    pub(crate) fn add_exception(&mut self, hash: FlowHash) {
        let (word, bit) = self.word(hash);
        word.0 |= bit;
    }

    /// Marks a flow as seen and returns the owner, or `None` if the flow may
    /// belong to another upstream.
    pub(crate) fn mark_seen(&mut self, hash: FlowHash) -> Option<UpstreamId> {
        let owner = self.owner?;
        let (word, bit) = self.word(hash);
        if word.0 & bit != 0 {
            return None;
        }
        word.1 |= bit;
        Some(owner)
    }

    /// Returns whether a packet of the flow may have passed.
    pub(crate) fn was_seen(&mut self, hash: FlowHash) -> bool {
        let (word, bit) = self.word(hash);
        word.1 & bit != 0
    }

    fn word(&mut self, hash: FlowHash) -> (&mut (u64, u64), u64) {
        let bit = 1 << (hash & 63);
        let index = (hash >> 6) as usize;
        let word = if self.heap.is_empty() {
            &mut self.inline[index & 1]
        } else {
            let mask = self.heap.len() - 1;
            &mut self.heap[index & mask]
        };
        (word, bit)
    }
}
