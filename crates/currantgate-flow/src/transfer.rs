//! What a coordinator knows of one bucket's move.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use currantgate_packet::FlowHash;
use indexmap::{IndexMap, IndexSet};

use crate::Version;
use crate::pin::Pin;

/// Time after which an unanswered mark is sent again for the first time.
const PREPARE_RETRY: Duration = Duration::from_millis(300);

/// Time after which unanswered flows are sent again for the first time; the
/// answer may wait for the other entry's budget.
const PINS_RETRY: Duration = Duration::from_millis(1_000);

/// Doublings of the time between retries, at most.
const MAX_DOUBLINGS: u32 = 2;

/// The steps of a move, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Entries are being told to hand over what they don't know.
    Preparing,
    /// Entries are being told the flows that stay with the old upstream.
    Pinning,
    /// Entries are being told that the move is over.
    Committing,
}

/// How a coordinator came to move a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The bucket was at rest and is to have another owner.
    Planned,
    /// Its coordinator died on the way.
    Takeover,
    /// Entries know flows of it that others don't.
    Merge,
}

/// What a coordinator knows of one bucket's move.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The upstream that had the bucket.
    pub(crate) from: UpstreamId,
    /// The upstream that is to have it.
    pub(crate) to: UpstreamId,
    /// The version that it starts from.
    pub(crate) base: Version,
    /// How the move came about.
    pub(crate) cause: Cause,
    /// An entry lacks what earlier moves told.
    pub(crate) base_is_missing: bool,
    /// How far it is.
    pub(crate) stage: Stage,
    /// Whether an entry had taken an earlier commit to the same owner.
    pub(crate) already_committed: bool,
    /// Flows that don't belong to the new owner; it only grows.
    pub(crate) pins: Vec<Pin>,
    /// The flows in the list.
    listed: IndexSet<FlowHash>,
    /// Flows that begin anew once every entry has forgotten their past.
    pub(crate) restarted: IndexSet<FlowHash>,
    /// The live entries and how far each is.
    pub(crate) peers: IndexMap<EntryId, Progress>,
}

/// How far one entry is with a move.
#[derive(Debug)]
pub(crate) struct Progress {
    /// It hands unknown flows to the coordinator.
    pub(crate) prepared: bool,
    /// Flows of the coordinator's list that it has.
    pub(crate) received: u32,
    /// Flows that only it knew, once it has said how many.
    pub(crate) extras_total: Option<u32>,
    /// How many of these the coordinator has.
    pub(crate) extras_received: u32,
    /// It has taken the commit.
    pub(crate) committed: bool,
    /// The instant at which its next step is sent or sent again.
    pub(crate) send_at: Instant,
    attempts: u32,
}

impl Progress {
    /// Returns the progress of an entry that has not been told yet.
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

    /// Notes that the next step has been sent.
    pub(crate) fn on_sent(&mut self, now: Instant) {
        let first = if self.prepared {
            PINS_RETRY
        } else {
            PREPARE_RETRY
        };
        self.send_at = now + first * 2_u32.pow(self.attempts.min(MAX_DOUBLINGS));
        self.attempts += 1;
    }

    /// Notes that the entry has come further.
    pub(crate) fn on_progress(&mut self, now: Instant) {
        self.send_at = now;
        self.attempts = 0;
    }

    /// Tells whether it has a list of `total` flows and the coordinator its extras.
    pub(crate) fn has_all_pins(&self, total: u32) -> bool {
        self.prepared && self.received == total && self.has_sent_extras()
    }

    fn has_sent_extras(&self) -> bool {
        self.extras_total == Some(self.extras_received)
    }
}

impl Transfer {
    /// Returns a move that no other entry has been told of.
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

    /// Adds a flow that the other entries must know before the commit.
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

    /// Returns the upstream of flows that no entry has named, unless it is
    /// still unsure.
    pub(crate) fn upstream_without_record(&self) -> Option<UpstreamId> {
        match self.cause {
            Cause::Planned => Some(self.from),
            Cause::Takeover if self.stage == Stage::Preparing => None,
            Cause::Takeover if self.already_committed => Some(self.to),
            Cause::Takeover => Some(self.from),
            Cause::Merge => None,
        }
    }

    /// Tells whether all flows are listed, also those of earlier moves.
    pub(crate) fn lists_all_flows(&self) -> bool {
        self.cause != Cause::Planned || self.base_is_missing
    }

    /// Tells whether every entry hands unknown flows to the coordinator.
    pub(crate) fn all_prepared(&self) -> bool {
        self.peers.values().all(|p| p.prepared)
    }

    /// Tells whether every entry knows all that the commit builds on.
    pub(crate) fn all_pinned(&self) -> bool {
        let total = self.pins.len() as u32;
        self.peers.values().all(|p| p.has_all_pins(total))
    }

    /// Tells whether every entry has taken the commit.
    pub(crate) fn all_committed(&self) -> bool {
        self.peers.values().all(|p| p.committed)
    }

    /// Tells whether `peer` may be told the list already.
    ///
    /// The backup comes first: what it alone knows is then in the list, so
    /// that the others need not tell it one by one.
    pub(crate) fn may_receive_pins(&self, peer: EntryId, backup: Option<EntryId>) -> bool {
        let first = backup.and_then(|b| self.peers.get(&b));
        backup == Some(peer) || first.is_none_or(Progress::has_sent_extras)
    }
}
