//! What entries tell each other about buckets and flows.

use currantgate_config::{ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::{Phase, PinGroup, Version};

/// Counts a service's buckets from zero.
pub type BucketIndex = u16;

/// What entries tell each other about buckets and flows.
///
/// Every part of a message may be lost, doubled or late: each step names the
/// version of the bucket that it is about and may be taken twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Steps of moves and repairs of several buckets of one service.
    Steps {
        /// The service.
        service: ServiceId,
        /// The steps.
        steps: Vec<BucketStep>,
    },
    /// What the sender's table looks like, for comparison.
    Digest {
        /// The service.
        service: ServiceId,
        /// One digest for each run of [`crate::BUCKETS_PER_CHUNK`] buckets.
        chunks: Vec<u32>,
    },
    /// The open flows of the buckets that the sender keeps.
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
        /// Whether the sender answers a digest.
        answers_digest: bool,
        /// Whether the sender counts the receiver as alive, so that its moves
        /// wait for the receiver.
        receiver_is_live: bool,
        /// The chunks that differ.
        chunks: Vec<ChunkVersions>,
    },
}

/// One step about one or more buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketStep {
    /// The buckets: the first one, then each one's distance to the next, which
    /// wraps around.
    pub buckets: Vec<BucketIndex>,
    /// The version that the step belongs to.
    pub version: Version,
    /// The step.
    pub step: Step,
}

/// One step of a bucket's move or repair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The sender moves the bucket: flows without a record go to it.
    Prepare {
        /// The upstream that had the bucket.
        from: UpstreamId,
        /// The upstream that is to have it.
        to: UpstreamId,
        /// The version that the move starts from.
        base: Version,
        /// Whether the sender lists all flows of other upstreams, also those
        /// that earlier moves told.
        full_list: bool,
    },
    /// The sender has prepared the bucket as moving.
    Prepared {
        /// Whether it had the target as the bucket's owner before.
        already_committed: bool,
        /// Whether it lacks what earlier moves told.
        lacks_base: bool,
    },
    /// Flows of the bucket that the coordinator knows.
    Pins {
        /// Flows in the coordinator's list before these.
        offset: u32,
        /// Flows in the coordinator's list so far.
        total: u32,
        /// Flows that the coordinator has had from the receiver.
        extras_received: u32,
        /// The flows.
        flows: Vec<PinGroup>,
    },
    /// How much of the coordinator's list the sender has, and flows not in it.
    PinsReceived {
        /// Flows of the coordinator's list that the sender has.
        received: u32,
        /// Flows that only the sender knew, counted once it has the list.
        extras_total: Option<u32>,
        /// Flows of these before the ones that follow.
        offset: u32,
        /// The flows.
        flows: Vec<PinGroup>,
    },
    /// The move is over.
    Commit {
        /// The upstream that has the bucket now.
        owner: UpstreamId,
    },
    /// The sender has taken the commit.
    Committed,
    /// The sender has another version, which this message names.
    VersionMismatch,
    /// The sender knows flows that the others may not know: the bucket's
    /// primary is to collect them.
    RequestMerge,
    /// Flows that the receiver, a new primary or backup, is to remember.
    Copy {
        /// The flows, a run in ascending order of flow hash.
        flows: Vec<PinGroup>,
    },
    /// The sender remembers a part of a copy.
    Copied {
        /// The highest flow hash of the part.
        up_to: u64,
    },
    /// The sender wants the bucket's state and its pins.
    Pull {
        /// The highest flow hash that the sender has had so far.
        after: Option<u64>,
    },
    /// The bucket's state and a part of its pins.
    State {
        /// The phase that goes with the version.
        phase: Phase,
        /// Names the pull that is answered.
        after: Option<u64>,
        /// Whether there are more pins than these.
        has_more: bool,
        /// Pins in ascending order of flow hash.
        flows: Vec<PinGroup>,
    },
}

/// The versions of one chunk of buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkVersions {
    /// The chunk, counted from zero.
    pub chunk: u16,
    /// The version of each bucket, and whether it is at rest.
    pub versions: Vec<(Version, bool)>,
}

/// The open flows of one upstream, as one primary sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFlowCount {
    /// The low half of the upstream's id, which is enough for a sum that only
    /// the shares depend on.
    pub id_low: u32,
    /// Its open flows.
    pub flows: u32,
}
