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

/// One bucket of a service's table, with the flows whose hash falls into it.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// The version of the bucket's state.
    pub(crate) version: Version,
    /// The upstream that owns the bucket, or the move in progress.
    pub(crate) phase: Phase,
    /// The entry that decides for first packets and moves the bucket.
    pub(crate) primary: Option<EntryId>,
    /// The entry that records what the primary decides.
    pub(crate) backup: Option<EntryId>,
    /// The instant since which this entry has been the primary; it may lack
    /// records of older flows. `None` if the bucket had no owner at that time.
    pub(crate) primary_since: Option<Instant>,
    /// Records of this entry's flows.
    pub(crate) flows: FlowMap,
    /// The flows that the owner doesn't serve, and those seen recently.
    pub(crate) filter: Filter,
    /// What this entry has received of the coordinator's pins, while the bucket
    /// moves.
    pub(crate) received: Option<Box<ReceivedPins>>,
}

/// The pins that a participant has received from the coordinator of a move.
#[derive(Debug, Default)]
pub(crate) struct ReceivedPins {
    /// Whether the pins cover all flows that the next owner doesn't serve.
    pub(crate) full_list: bool,
    /// Whether this entry lacks pins of earlier moves.
    pub(crate) lacks_base: bool,
    /// Flows that the coordinator has pinned.
    pub(crate) listed: IndexSet<FlowHash>,
    /// Flows that the coordinator has not pinned, determined once all of its
    /// pins have arrived.
    pub(crate) extras: Option<Vec<Pin>>,
}

impl Bucket {
    /// Returns a bucket without an owner.
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

    /// Returns all flows with their upstreams, in ascending order of hash.
    pub(crate) fn pins(&self) -> Vec<Pin> {
        let mut pins: Vec<_> = self.flows.iter().map(|(h, r)| (*h, r.upstream)).collect();
        pins.sort_unstable();
        pins
    }

    /// Returns the flows whose upstream is not the bucket's stable owner, in
    /// ascending order of hash.
    pub(crate) fn exceptions(&self) -> Vec<Pin> {
        let owner = match self.phase {
            Phase::Stable { owner } => Some(owner),
            Phase::Unowned | Phase::Moving { .. } => None,
        };
        let mut pins = self.pins();
        pins.retain(|(_, upstream)| Some(*upstream) != owner);
        pins
    }

    /// Marks the flows that the owner doesn't serve as pinned on every entry.
    pub(crate) fn mark_pinned(&mut self) {
        for record in self.flows.values_mut() {
            let owned = self.phase
                == Phase::Stable {
                    owner: record.upstream,
                };
            record.state.pinned = !owned;
        }
    }

    /// Marks all flows as not pinned: the other entries reached the bucket's
    /// state without this one, and may lack its flows.
    pub(crate) fn clear_pinned(&mut self) {
        for record in self.flows.values_mut() {
            record.state.pinned = false;
        }
    }

    /// Returns the flows that other entries may lack, in ascending order of
    /// hash: those at upstream `from`, and those that no move has pinned.
    pub(crate) fn unpinned(&self, from: UpstreamId) -> Vec<Pin> {
        let unpinned = self.flows.iter().filter(|(_, r)| is_unpinned(r, from));
        let mut pins: Vec<_> = unpinned.map(|(hash, r)| (*hash, r.upstream)).collect();
        pins.sort_unstable();
        pins
    }

    /// Returns the number of flows that a move from `from` would have to pin.
    pub(crate) fn count_unpinned(&self, from: UpstreamId) -> usize {
        self.flows.values().filter(|r| is_unpinned(r, from)).count()
    }

    /// Rebuilds the filter from the records.
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

    /// Sets a new version and phase.
    pub(crate) fn adopt(&mut self, version: Version, phase: Phase) {
        self.version = version;
        self.phase = phase;
        self.received = match phase {
            Phase::Moving { .. } => Some(Box::default()),
            Phase::Unowned | Phase::Stable { .. } => None,
        };
        self.rebuild_filter();
    }

    /// Returns whether entry `me` is the bucket's primary or backup.
    pub(crate) fn is_replica(&self, me: EntryId) -> bool {
        self.primary == Some(me) || self.backup == Some(me)
    }

    /// Returns whether entry `me` must retain an open flow: it is a replica of
    /// the bucket, or the table alone doesn't give the flow's upstream.
    pub(crate) fn must_retain(&self, me: EntryId, upstream: UpstreamId) -> bool {
        self.is_replica(me) || self.phase != Phase::Stable { owner: upstream }
    }

    /// Returns the sort key of the bucket's states: at equal versions, the
    /// state in which the move has ended comes later.
    pub(crate) fn rank(&self) -> (Version, bool) {
        (self.version, self.phase.is_stable())
    }
}

fn is_unpinned(record: &Record, from: UpstreamId) -> bool {
    !record.state.pinned || record.upstream == from
}
