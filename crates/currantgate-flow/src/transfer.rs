//! What a coordinator knows of one bucket's move.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use currantgate_packet::FlowHash;
use indexmap::{IndexMap, IndexSet};

use crate::Version;
use crate::pin::Pin;

/// Time after which an unanswered mark is sent again for the first time.
const MARK_RETRY: Duration = Duration::from_millis(300);

/// Time after which unanswered flows are sent again for the first time; the
/// answer may wait for the other entry's budget.
const FILL_RETRY: Duration = Duration::from_millis(1_000);

/// Doublings of the time between retries, at most.
const MAX_DOUBLINGS: u32 = 2;

/// The steps of a move, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Entries are being told to hand over what they don't know.
    Marking,
    /// Entries are being told the flows that stay with the old upstream.
    Filling,
    /// Entries are being told that the move is over.
    Committing,
}

/// How a coordinator came to move a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The bucket was at rest and is to have another owner.
    Plan,
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
    pub(crate) base_is_lacking: bool,
    /// How far it is.
    pub(crate) stage: Stage,
    /// Whether an entry had taken an earlier commit to the same owner.
    pub(crate) committed_before: bool,
    /// Flows that don't belong to the new owner; it only grows.
    pub(crate) list: Vec<Pin>,
    /// The flows in the list.
    listed: IndexSet<FlowHash>,
    /// Flows that begin anew once every entry has forgotten their past.
    pub(crate) replaced: IndexSet<FlowHash>,
    /// The live entries and how far each is.
    pub(crate) peers: IndexMap<EntryId, Progress>,
}

/// How far one entry is with a move.
#[derive(Debug)]
pub(crate) struct Progress {
    /// It hands unknown flows to the coordinator.
    pub(crate) marked: bool,
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
    tries: u32,
}

impl Progress {
    /// Returns the progress of an entry that has not been told yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            marked: false,
            received: 0,
            extras_total: None,
            extras_received: 0,
            committed: false,
            send_at: now,
            tries: 0,
        }
    }

    /// Notes that the next step has been sent.
    pub(crate) fn sent(&mut self, now: Instant) {
        let first = if self.marked { FILL_RETRY } else { MARK_RETRY };
        self.send_at = now + first * 2_u32.pow(self.tries.min(MAX_DOUBLINGS));
        self.tries += 1;
    }

    /// Notes that the entry has come further.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.send_at = now;
        self.tries = 0;
    }

    /// Tells whether it has a list of `total` flows and the coordinator its extras.
    pub(crate) fn is_filled(&self, total: u32) -> bool {
        self.marked && self.received == total && self.has_told_extras()
    }

    fn has_told_extras(&self) -> bool {
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
            base_is_lacking: false,
            stage: Stage::Marking,
            committed_before: false,
            list: Vec::new(),
            listed: IndexSet::new(),
            replaced: IndexSet::new(),
            peers: peers.map(|id| (id, Progress::new(now))).collect(),
        }
    }

    /// Adds a flow that the other entries must know before the commit.
    pub(crate) fn add(&mut self, now: Instant, hash: FlowHash, upstream: UpstreamId) {
        if !self.listed.insert(hash) {
            return;
        }
        self.list.push((hash, upstream));
        for progress in self.peers.values_mut() {
            if progress.received + 1 == self.list.len() as u32 {
                progress.advance(now);
            }
        }
    }

    /// Returns the upstream of flows that no entry has named, unless it is
    /// still unsure.
    pub(crate) fn unknown(&self) -> Option<UpstreamId> {
        match self.cause {
            Cause::Plan => Some(self.from),
            Cause::Takeover if self.stage == Stage::Marking => None,
            Cause::Takeover if self.committed_before => Some(self.to),
            Cause::Takeover => Some(self.from),
            Cause::Merge => None,
        }
    }

    /// Tells whether all flows are listed, also those of earlier moves.
    pub(crate) fn is_full(&self) -> bool {
        self.cause != Cause::Plan || self.base_is_lacking
    }

    /// Tells whether every entry hands unknown flows to the coordinator.
    pub(crate) fn all_marked(&self) -> bool {
        self.peers.values().all(|p| p.marked)
    }

    /// Tells whether every entry knows all that the commit builds on.
    pub(crate) fn all_filled(&self) -> bool {
        let total = self.list.len() as u32;
        self.peers.values().all(|p| p.is_filled(total))
    }

    /// Tells whether every entry has taken the commit.
    pub(crate) fn all_committed(&self) -> bool {
        self.peers.values().all(|p| p.committed)
    }

    /// Tells whether `peer` may be told the list already.
    ///
    /// The backup comes first: what it alone knows is then in the list, so
    /// that the others need not tell it one by one.
    pub(crate) fn may_fill(&self, peer: EntryId, backup: Option<EntryId>) -> bool {
        let first = backup.and_then(|b| self.peers.get(&b));
        backup == Some(peer) || first.is_none_or(Progress::has_told_extras)
    }
}
