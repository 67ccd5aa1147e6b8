//! What entries tell each other about who is alive.

use currantgate_config::{EntryId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{EntryStage, Record};

/// Groups of upstreams that digests are compared by.
pub(crate) const BUCKETS: usize = 16;

/// What entries tell each other about who is alive.
///
/// Any of them may be lost, doubled or late. See `docs/design/membership.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive, and all in its set of upstreams hold their leases.
    Heartbeat {
        /// Tells this start of the sender from earlier ones.
        incarnation: Incarnation,
        /// Grows with each heartbeat of an incarnation.
        sequence: u64,
        /// The stage of the sender's life.
        stage: EntryStage,
        /// A digest of the records that the sender owns.
        digest: u64,
        /// When other entries were last known to be alive.
        reports: Vec<LivenessReport>,
        /// Upstreams of the sender that have not renewed for half of their lease.
        late: Vec<u64>,
    },
    /// Records that the receiver may not know yet; it acknowledges them.
    Records(Vec<Record>),
    /// Hashes of records that the sender has taken in or knows better than.
    Ack(Vec<u64>),
    /// The sender asks for the receiver's records in groups whose digest differs.
    Pull {
        /// The sender's digests of the receiver's set, one for each group.
        digests: [u32; BUCKETS],
    },
    /// All records of one group that the sender owns in a range of keys.
    Slice {
        /// The group.
        bucket: u8,
        /// The first key of the range.
        from: u64,
        /// The last key of the range.
        to: u64,
        /// The records; one that is missing is no longer the sender's.
        records: Vec<Record>,
    },
    /// Upstreams of the receiver have renewed their leases with the sender.
    Renewed(Vec<(u64, Incarnation)>),
    /// The sender distrusts the silence of upstreams and asks for other views.
    Suspect(Vec<u64>),
    /// The sender hears other upstreams, but not these either.
    ConfirmSuspect(Vec<u64>),
}

/// When another entry was last known to be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessReport {
    /// The other entry.
    pub id: EntryId,
    /// The time since then, in units of 16 ms, rounded up.
    pub age: u8,
    /// Its stage in the low 2 bits, and 6 bits that differ between its starts.
    pub tag: u8,
}
