//! Settings of a replica.

use crate::VoterId;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// The replica's own id.
    pub id: VoterId,
    /// Seeds the random part of election timeouts.
    pub seed: u64,
    /// Committed entries after which the log is cut down to a snapshot.
    pub snapshot_entries: usize,
    /// Bytes of committed entries after which the log is cut likewise.
    pub snapshot_bytes: usize,
    /// The largest site file in bytes.
    pub max_text_bytes: usize,
    /// The largest chunk of a snapshot in bytes.
    pub chunk_bytes: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            id: 0,
            seed: 0,
            snapshot_entries: 256,
            snapshot_bytes: 16 << 20,
            max_text_bytes: 4 << 20,
            chunk_bytes: 64 << 10,
        }
    }
}
