//! Ids and counters of the replicated log.

/// Names one control VM: small where an operator chose it, random where a VM chose
/// it for itself; an id is never used again once its disk is lost.
pub type VoterId = u64;

/// Counts elections; each term has at most one leader.
pub type Term = u64;

/// Position of an entry in the replicated log; the first is 1.
pub type Index = u64;

/// Counts accepted site files; 0 is the empty file before the first.
pub type Revision = u64;

/// Names one request of an operator at the replica that took it.
pub type RequestId = u64;

/// Counts the batches that a replica asked to have synced.
pub type BatchId = u64;
