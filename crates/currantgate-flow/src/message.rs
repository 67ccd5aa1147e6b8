//! The messages that entries exchange about buckets and flows.

use currantgate_config::{ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::{Phase, PinGroup, Version};

/// Index of a bucket in its service's table, from zero.
pub type BucketIndex = u16;

/// A message between entries about buckets and flows.
///
/// Every part of a message may be lost, duplicated or delayed: each step
/// carries the version of its bucket, and may safely be handled twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Steps of moves and repairs of several buckets of one service.
    Steps {
        /// The service.
        service: ServiceId,
        /// The steps.
        steps: Vec<BucketStep>,
    },
    /// Digests of the sender's table, for comparison.
    Digest {
        /// The service.
        service: ServiceId,
        /// One digest for every [`crate::BUCKETS_PER_CHUNK`] consecutive
        /// buckets.
        chunks: Vec<u32>,
    },
    /// The open flows of the buckets that the sender is the primary of.
    Load {
        /// The service.
        service: ServiceId,
        /// Open flows by upstream.
        flows: Vec<UpstreamFlowCount>,
    },
    /// The versions of the buckets in chunks that differ.
    Versions {
        /// The service.
        service: ServiceId,
        /// Whether the message replies to a digest.
        answers_digest: bool,
        /// Whether the receiver is live in the sender's view, so that the
        /// sender's moves wait for it.
        receiver_is_live: bool,
        /// The chunks that differ.
        chunks: Vec<ChunkVersions>,
    },
}

/// One step for one or more buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketStep {
    /// The buckets: the index of the first, then for each further one its
    /// distance from the one before, which wraps around.
    pub buckets: Vec<BucketIndex>,
    /// The version that the step belongs to.
    pub version: Version,
    /// The step.
    pub step: Step,
}

/// One step of a bucket's move or repair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The sender moves the bucket; the receiver forwards flows without a
    /// record to it.
    Prepare {
        /// The upstream that owned the bucket.
        from: UpstreamId,
        /// The upstream that will own it.
        to: UpstreamId,
        /// The version from which the move starts.
        base: Version,
        /// Whether the pins will cover all flows of other upstreams, including
        /// those that earlier moves pinned.
        full_list: bool,
    },
    /// The sender has marked the bucket as moving.
    Prepared {
        /// Whether the bucket already had the target as its owner.
        already_committed: bool,
        /// Whether the sender lacks pins of earlier moves.
        lacks_base: bool,
    },
    /// Flows that the coordinator has pinned.
    Pins {
        /// Number of the coordinator's pins before these.
        offset: u32,
        /// Number of the coordinator's pins so far.
        total: u32,
        /// Number of the receiver's extra flows that the coordinator has
        /// received.
        extras_received: u32,
        /// The flows.
        flows: Vec<PinGroup>,
    },
    /// The number of pins that the sender has received, and its extra flows,
    /// which are not among the pins.
    PinsReceived {
        /// Number of the coordinator's pins that the sender has received.
        received: u32,
        /// Number of the sender's extra flows, once it has received all pins.
        extras_total: Option<u32>,
        /// Number of the extra flows before the ones in this step.
        offset: u32,
        /// The flows.
        flows: Vec<PinGroup>,
    },
    /// The move has ended.
    Commit {
        /// The upstream that owns the bucket now.
        owner: UpstreamId,
    },
    /// The sender has applied the commit.
    Committed,
    /// The sender has another version of the bucket, which this message
    /// carries.
    VersionMismatch,
    /// The sender has records of flows that other entries may lack: the
    /// bucket's primary is to merge them.
    RequestMerge,
    /// Flows that the receiver, a new primary or backup, is to record.
    Copy {
        /// Consecutive flows, in ascending order of hash.
        flows: Vec<PinGroup>,
    },
    /// The sender has recorded a part of a copy.
    Copied {
        /// The highest flow hash of the part.
        up_to: u64,
    },
    /// The sender requests the bucket's state and its pins.
    Pull {
        /// The highest flow hash that the sender has received so far.
        after: Option<u64>,
    },
    /// The bucket's state and a part of its pins.
    State {
        /// The phase that belongs to the version.
        phase: Phase,
        /// The `after` of the pull that this state replies to.
        after: Option<u64>,
        /// Whether more pins follow.
        has_more: bool,
        /// Pins in ascending order of flow hash.
        flows: Vec<PinGroup>,
    },
}

/// The versions of one chunk of buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkVersions {
    /// Index of the chunk, from zero.
    pub chunk: u16,
    /// The version of each bucket, and whether the bucket is stable.
    pub versions: Vec<(Version, bool)>,
}

/// The open flows of one upstream, as observed by one primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFlowCount {
    /// The low half of the upstream's id. It is sufficient, since only the
    /// shares of upstreams depend on the sums.
    pub id_low: u32,
    /// Number of its open flows.
    pub flows: u32,
}
