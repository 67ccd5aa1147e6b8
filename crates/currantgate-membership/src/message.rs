//! Membership messages between entries.

use currantgate_config::{EntryId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{EntryStage, Record};

/// Number of buckets of upstreams for which digests are compared.
pub(crate) const BUCKETS: usize = 16;

/// Membership message from one entry to another.
///
/// Any message may be lost, duplicated or delayed. See `docs/design/membership.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive, and the leases in its set of upstreams are valid.
    Heartbeat {
        /// Incarnation of the sender, which differs between its starts.
        incarnation: Incarnation,
        /// Sequence number, which grows with each heartbeat of an incarnation.
        sequence: u64,
        /// Stage of the sender.
        stage: EntryStage,
        /// Digest of the records that the sender owns.
        digest: u64,
        /// Reports on when other entries were last known to be alive.
        reports: Vec<LivenessReport>,
        /// Upstreams of the sender that have not renewed for half of their lease duration.
        late: Vec<u64>,
    },
    /// Records that may be new to the receiver, which acknowledges them.
    Records(Vec<Record>),
    /// Acknowledgement of records by their hashes, whether they were merged or not.
    Ack(Vec<u64>),
    /// Request for the receiver's records in the buckets whose digests differ.
    Pull {
        /// The sender's digests of the receiver's set, one for each bucket.
        digests: [u32; BUCKETS],
    },
    /// All records of one bucket that the sender owns in a range of keys.
    Slice {
        /// Bucket of the records.
        bucket: u8,
        /// First key of the range.
        from: u64,
        /// Last key of the range.
        to: u64,
        /// Records; one of the range that is missing is no longer owned by the sender.
        records: Vec<Record>,
    },
    /// Upstreams owned by the receiver that have renewed their leases at the sender.
    Renewed(Vec<(u64, Incarnation)>),
    /// Upstreams that the sender suspects to have failed; the receiver is to confirm that
    /// they are silent.
    Suspect(Vec<u64>),
    /// Suspected upstreams that are silent at the sender too, although it receives
    /// announcements of others.
    ConfirmSuspect(Vec<u64>),
}

/// Report on when another entry was last known to be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessReport {
    /// Id of the other entry.
    pub id: EntryId,
    /// Time since then, in units of 16 ms, rounded up.
    pub age: u8,
    /// Its stage in the low 2 bits, and a 6-bit hash of its incarnation.
    pub tag: u8,
}
