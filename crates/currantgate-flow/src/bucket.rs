//! One bucket of a service's table.

use std::time::Instant;

use currantgate_config::{EntryId, UpstreamId};
use currantgate_packet::FlowHash;
use indexmap::IndexSet;

use crate::filter::Filter;
use crate::flow_map::FlowMap;
use crate::pin::Pin;
use crate::record::Record;
use crate::{Phase, Version};

/// One bucket of a service's table, with the flows that fall into it.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// Orders the bucket's states.
    pub(crate) version: Version,
    /// Who has the bucket.
    pub(crate) phase: Phase,
    /// The entry that decides for first packets and moves the bucket.
    pub(crate) primary: Option<EntryId>,
    /// The entry that remembers what the primary decides.
    pub(crate) backup: Option<EntryId>,
    /// The instant since which this entry has been the primary; flows that are
    /// older may be unknown to it. None if the bucket had no owner then.
    pub(crate) primary_since: Option<Instant>,
    /// The flows that this entry knows.
    pub(crate) flows: FlowMap,
    /// Which flows the owner doesn't have and which have been seen lately.
    pub(crate) filter: Filter,
    /// What the coordinator has told of its list, while the bucket moves.
    pub(crate) received: Option<Box<ReceivedPins>>,
}

/// How much of the coordinator's list an entry has.
#[derive(Debug, Default)]
pub(crate) struct ReceivedPins {
    /// Whether the list has all flows of other upstreams than the next owner.
    pub(crate) full_list: bool,
    /// This entry lacks what earlier moves told.
    pub(crate) lacks_base: bool,
    /// The flows of the coordinator's list.
    pub(crate) listed: IndexSet<FlowHash>,
    /// Flows that were not in the list once all of it had come.
    pub(crate) extras: Option<Vec<Pin>>,
}

impl Bucket {
    /// Returns a bucket that no upstream has.
    pub(crate) fn new() -> Self {
        Self {
            version: Version::default(),
            phase: Phase::Unowned,
            primary: None,
            backup: None,
            primary_since: None,
            flows: FlowMap::default(),
            filter: Filter::default(),
            received: None,
        }
    }

    /// Returns all flows with their upstreams, in ascending order.
    pub(crate) fn pins(&self) -> Vec<Pin> {
        let mut pins: Vec<_> = self.flows.iter().map(|(h, r)| (*h, r.upstream)).collect();
        pins.sort_unstable();
        pins
    }

    /// Returns the flows that belong to another upstream than a table alone
    /// would tell, in ascending order.
    pub(crate) fn exceptions(&self) -> Vec<Pin> {
        let owner = match self.phase {
            Phase::Stable { owner } => Some(owner),
            Phase::Unowned | Phase::Moving { .. } => None,
        };
        let mut pins = self.pins();
        pins.retain(|(_, upstream)| Some(*upstream) != owner);
        pins
    }

    /// Notes that every entry knows all flows that the owner doesn't have.
    pub(crate) fn mark_pinned(&mut self) {
        for record in self.flows.values_mut() {
            let owned = self.phase
                == Phase::Stable {
                    owner: record.upstream,
                };
            record.state.pinned = !owned;
        }
    }

    /// Notes that the others may know none of the flows: they came to the
    /// bucket's state by another way.
    pub(crate) fn clear_pinned(&mut self) {
        for record in self.flows.values_mut() {
            record.state.pinned = false;
        }
    }

    /// Returns the flows that entries may not know alike, in ascending order:
    /// those of the owner so far, and those that no move has told yet.
    pub(crate) fn unpinned(&self, from: UpstreamId) -> Vec<Pin> {
        let unpinned = self.flows.iter().filter(|(_, r)| is_unpinned(r, from));
        let mut pins: Vec<_> = unpinned.map(|(hash, r)| (*hash, r.upstream)).collect();
        pins.sort_unstable();
        pins
    }

    /// Returns how many flows a move from `from` would have to tell.
    pub(crate) fn count_unpinned(&self, from: UpstreamId) -> usize {
        self.flows.values().filter(|r| is_unpinned(r, from)).count()
    }

    /// Builds the filter anew from the records.
    pub(crate) fn rebuild_filter(&mut self) {
        let owner = match self.phase {
            Phase::Stable { owner } => Some(owner),
            Phase::Unowned | Phase::Moving { .. } => None,
        };
        self.filter = Filter::new(owner, self.flows.len());
        for (hash, record) in &self.flows {
            if self.phase.target() != Some(record.upstream) {
                self.filter.add_exception(*hash);
            }
        }
    }

    /// Takes a new state.
    pub(crate) fn adopt(&mut self, version: Version, phase: Phase) {
        self.version = version;
        self.phase = phase;
        self.received = match phase {
            Phase::Moving { .. } => Some(Box::default()),
            Phase::Unowned | Phase::Stable { .. } => None,
        };
        self.rebuild_filter();
    }

    /// Tells whether entry `me` is the bucket's primary or backup.
    pub(crate) fn is_replica(&self, me: EntryId) -> bool {
        self.primary == Some(me) || self.backup == Some(me)
    }

    /// Tells whether this entry, `me`, must remember a flow for as long as it
    /// is open: it decides for the bucket, or the table alone would not tell.
    pub(crate) fn must_retain(&self, me: EntryId, upstream: UpstreamId) -> bool {
        self.is_replica(me) || self.phase != Phase::Stable { owner: upstream }
    }

    /// Returns what orders the bucket's states: of two entries that have the
    /// same version, the one that has ended the move is ahead.
    pub(crate) fn rank(&self) -> (Version, bool) {
        (self.version, self.phase.is_stable())
    }
}

fn is_unpinned(record: &Record, from: UpstreamId) -> bool {
    !record.state.pinned || record.upstream == from
}
