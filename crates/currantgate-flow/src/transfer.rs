//! The coordinator's state of one bucket's move.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use currantgate_packet::FlowHash;
use indexmap::{IndexMap, IndexSet};

use crate::Version;
use crate::pin::Pin;

/// Time until a step is first sent again to an entry that has not acknowledged
/// the prepare step.
const PREPARE_RETRY: Duration = Duration::from_millis(300);

/// Time until a later step is first sent again; the reply to pins may be
/// delayed by the other entry's send budget.
const PINS_RETRY: Duration = Duration::from_millis(1_000);

/// Maximum number of times that the retry interval doubles.
const MAX_DOUBLINGS: u32 = 2;

/// The stages of a move, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Entries mark the bucket as moving, so that they forward flows without a
    /// record to the coordinator.
    Preparing,
    /// Entries receive the flows that stay at their present upstream.
    Pinning,
    /// Entries apply the new owner, which ends the move.
    Committing,
}

/// Why a bucket is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The bucket was stable. It gets another owner, or flows in it start over.
    Planned,
    /// The coordinator of an earlier move has died.
    Takeover,
    /// Some entries have records of flows that others lack.
    Merge,
}

/// The coordinator's state of one bucket's move.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The upstream that owned the bucket.
    pub(crate) from: UpstreamId,
    /// The upstream that will own it.
    pub(crate) to: UpstreamId,
    /// The version from which the move starts.
    pub(crate) base: Version,
    /// The reason for the move.
    pub(crate) cause: Cause,
    /// Whether an entry lacks pins of earlier moves.
    pub(crate) base_is_missing: bool,
    /// The current stage.
    pub(crate) stage: Stage,
    /// Whether an entry had already applied an earlier commit to the same
    /// owner.
    pub(crate) already_committed: bool,
    /// Flows that don't belong to the new owner. Append-only, since progress is
    /// counted by position.
    pub(crate) pins: Vec<Pin>,
    /// The hashes of the flows in `pins`.
    listed: IndexSet<FlowHash>,
    /// Flows that start over under reused addresses. They are pinned even at
    /// the new owner, so that every entry replaces its old record.
    pub(crate) restarted: IndexSet<FlowHash>,
    /// The live entries and their progress.
    pub(crate) peers: IndexMap<EntryId, Progress>,
}

/// The progress of one entry in a move.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Whether it forwards flows without a record to the coordinator.
    pub(crate) prepared: bool,
    /// Number of the coordinator's pins that it has received.
    pub(crate) received: u32,
    /// Number of flows that only it has recorded, once it has reported that.
    pub(crate) extras_total: Option<u32>,
    /// Number of those flows that the coordinator has received.
    pub(crate) extras_received: u32,
    /// Whether it has applied the commit.
    pub(crate) committed: bool,
    /// The instant at which its next step is sent or sent again.
    pub(crate) send_at: Instant,
    attempts: u32,
}

impl Progress {
    /// Returns the progress of an entry that has received no step.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            prepared: false,
            received: 0,
            extras_total: None,
            extras_received: 0,
            committed: false,
            send_at: now,
            attempts: 0,
        }
    }

    /// Schedules the retry of a step that has just been sent.
    pub(crate) fn on_sent(&mut self, now: Instant) {
        let first = if self.prepared {
            PINS_RETRY
        } else {
            PREPARE_RETRY
        };
        self.send_at = now + first * 2_u32.pow(self.attempts.min(MAX_DOUBLINGS));
        self.attempts += 1;
    }

    /// Makes the next step due at once and resets the retry interval.
    pub(crate) fn on_progress(&mut self, now: Instant) {
        self.send_at = now;
        self.attempts = 0;
    }

    /// Returns whether the entry has all `total` pins and the coordinator has
    /// all flows that only the entry had recorded.
    pub(crate) fn has_all_pins(&self, total: u32) -> bool {
        self.prepared && self.received == total && self.has_sent_extras()
    }

    fn has_sent_extras(&self) -> bool {
        self.extras_total == Some(self.extras_received)
    }
}

impl Transfer {
    /// Returns a move of which no other entry has received a step.
    pub(crate) fn new(
        now: Instant,
        base: Version,
        (from, to): (UpstreamId, UpstreamId),
        cause: Cause,
        peers: impl Iterator<Item = EntryId>,
    ) -> Self {
        Self {
            from,
            to,
            base,
            cause,
            base_is_missing: false,
            stage: Stage::Preparing,
            already_committed: false,
            pins: Vec::new(),
            listed: IndexSet::new(),
            restarted: IndexSet::new(),
            peers: peers.map(|id| (id, Progress::new(now))).collect(),
        }
    }

    /// Adds a flow that the other entries must record before the commit.
    pub(crate) fn add(&mut self, now: Instant, hash: FlowHash, upstream: UpstreamId) {
        if !self.listed.insert(hash) {
            return;
        }
        self.pins.push((hash, upstream));
        for progress in self.peers.values_mut() {
            if progress.received + 1 == self.pins.len() as u32 {
                progress.on_progress(now);
            }
        }
    }

    /// Returns the upstream of flows that no entry has a record of, or `None`
    /// while it can't be determined.
    pub(crate) fn upstream_without_record(&self) -> Option<UpstreamId> {
        match self.cause {
            Cause::Planned => Some(self.from),
            Cause::Takeover if self.stage == Stage::Preparing => None,
            Cause::Takeover if self.already_committed => Some(self.to),
            Cause::Takeover => Some(self.from),
            Cause::Merge => None,
        }
    }

    /// Returns whether the pins cover all flows, including those that earlier
    /// moves pinned.
    pub(crate) fn lists_all_flows(&self) -> bool {
        self.cause != Cause::Planned || self.base_is_missing
    }

    /// Returns whether every entry forwards flows without a record to the
    /// coordinator.
    pub(crate) fn all_prepared(&self) -> bool {
        self.peers.values().all(|p| p.prepared)
    }

    /// Returns whether every entry has recorded all flows that the commit
    /// depends on.
    pub(crate) fn all_pinned(&self) -> bool {
        let total = self.pins.len() as u32;
        self.peers.values().all(|p| p.has_all_pins(total))
    }

    /// Returns whether every entry has applied the commit.
    pub(crate) fn all_committed(&self) -> bool {
        self.peers.values().all(|p| p.committed)
    }

    /// Returns whether `peer` may receive the pins now.
    ///
    /// The backup comes first: the flows that it alone has recorded are then
    /// among the pins, so that the other entries need not send them one by one.
    pub(crate) fn may_receive_pins(&self, peer: EntryId, backup: Option<EntryId>) -> bool {
        let first = backup.and_then(|b| self.peers.get(&b));
        backup == Some(peer) || first.is_none_or(Progress::has_sent_extras)
    }
}
