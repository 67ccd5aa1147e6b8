//! Ids and counters of the replicated log.

/// The id of a control VM: a small number if an operator chose it, and one that holds the time
/// at which the VM joined, with random bits, if the VM chose it. An id is not used again after
/// its disk is lost.
pub type VoterId = u64;

/// A counter of elections. Each term has at most one leader.
pub type Term = u64;

/// The position of an entry in the replicated log, starting at 1.
pub type Index = u64;

/// A counter of accepted site files. Revision 0 is the empty file before the
/// first.
pub type Revision = u64;

/// The id of an operator's request at the replica that received it.
pub type RequestId = u64;

/// A counter of the batches that a replica emits.
pub type BatchId = u64;
