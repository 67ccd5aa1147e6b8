//! Settings of a replica.

use crate::VoterId;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// The replica's own id.
    pub id: VoterId,
    /// The seed of the random part of election timeouts.
    pub seed: u64,
    /// The number of committed entries after which the log is compacted to a
    /// snapshot.
    pub compact_after_entries: usize,
    /// The size of committed entries, in bytes, after which the log is compacted.
    pub compact_after_bytes: usize,
    /// The maximum size of a site file in bytes.
    pub max_site_file_bytes: usize,
    /// The maximum size of a chunk of a snapshot in bytes.
    pub snapshot_chunk_bytes: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            id: 0,
            seed: 0,
            compact_after_entries: 256,
            compact_after_bytes: 16 << 20,
            max_site_file_bytes: 4 << 20,
            snapshot_chunk_bytes: 64 << 10,
        }
    }
}
