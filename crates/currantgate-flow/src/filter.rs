//! A per-bucket filter that routes most packets without a record lookup.

use currantgate_config::UpstreamId;
use currantgate_packet::FlowHash;

/// Words of the set of seen flows that are stored in the filter itself.
const INLINE_WORDS: usize = 4;

/// Maximum number of flows in a bucket that uses the inline words alone.
const INLINE_FLOWS: usize = 64;

/// Bits per flow in a larger bucket.
const BITS_PER_FLOW: usize = 8;

/// The owner of a stable bucket, and two sets of its flows as bitmaps in which
/// flows may share a bit.
///
/// The first set holds the flows that don't belong to the owner: a flow that is
/// not in it goes to the owner. The second holds the flows of which a packet
/// has passed recently. The data of a small bucket without flows of the first
/// set fits in one cache line, so that a packet costs one memory access where a
/// record costs several.
#[derive(Debug, Default)]
#[repr(align(64))]
pub(crate) struct Filter {
    owner: Option<UpstreamId>,
    /// The second set, while `heap` is empty; the first is empty then.
    seen: [u64; INLINE_WORDS],
    /// Words of both sets.
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
        if self.heap.is_empty() {
            self.heap = self.seen.map(|seen| (0, seen)).into();
        }
        let (index, bit) = position(hash, self.heap.len());
        self.heap[index].0 |= bit;
    }

    /// Marks a flow as seen and returns the owner, or `None` if the flow may
    /// belong to another upstream.
    pub(crate) fn mark_seen(&mut self, hash: FlowHash) -> Option<UpstreamId> {
        let owner = self.owner?;
        if self.heap.is_empty() {
            let (index, bit) = position(hash, INLINE_WORDS);
            self.seen[index] |= bit;
            return Some(owner);
        }
        let (index, bit) = position(hash, self.heap.len());
        let (exceptions, seen) = &mut self.heap[index];
        if *exceptions & bit != 0 {
            return None;
        }
        *seen |= bit;
        Some(owner)
    }

    /// Returns whether a packet of the flow may have passed.
    pub(crate) fn was_seen(&self, hash: FlowHash) -> bool {
        if self.heap.is_empty() {
            let (index, bit) = position(hash, INLINE_WORDS);
            return self.seen[index] & bit != 0;
        }
        let (index, bit) = position(hash, self.heap.len());
        self.heap[index].1 & bit != 0
    }
}

/// Returns the word of a flow among `words`, a power of two, and its bit there.
fn position(hash: FlowHash, words: usize) -> (usize, u64) {
    ((hash >> 6) as usize & (words - 1), 1 << (hash & 63))
}
