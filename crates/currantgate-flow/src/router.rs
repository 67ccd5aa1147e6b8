//! The routing state machine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Protocol, UpstreamId};
use currantgate_membership::EntryStage;
use currantgate_packet::{FlowHasher, Packet};
use indexmap::{IndexMap, IndexSet};

use crate::balance::PLAN_INTERVAL;
use crate::bucket::Bucket;
use crate::copy::Copies;
use crate::flow_map::{ServiceMap, UpstreamMap};
use crate::gone_flows::GoneFlowScan;
use crate::loads::Loads;
use crate::pull::Pull;
use crate::sync::SyncState;
use crate::table::Table;
use crate::transfer::Transfer;
use crate::upstream_status::UpstreamStatus;
use crate::{BucketIndex, BucketStep, Message, Output, Phase, RouterSettings, Step, Version};

/// Identifies a bucket by the index of its table and its index in that table.
pub(crate) type BucketId = (usize, BucketIndex);

/// A reply to a step of another entry: the bucket, the version and the step.
pub(crate) type Reply = (BucketIndex, Version, Step);

/// Minimum time between two rounds of maintenance in [`Router::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maintenance rounds in which every bucket is swept once.
const SWEEP_ROUNDS: usize = 64;

/// Decides which upstream each packet goes to.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) hasher: FlowHasher,
    /// Index of the table of each reachable service, by its address.
    pub(crate) services: ServiceMap,
    /// The service of the last packet, which the next packet often shares.
    recent_service: Option<((Protocol, SocketAddr), usize)>,
    /// Tables of all services, including those that were removed.
    pub(crate) tables: Vec<Table>,
    pub(crate) upstreams: UpstreamMap<UpstreamStatus>,
    /// The upstream that holds each address.
    pub(crate) addresses: IndexMap<SocketAddr, UpstreamId>,
    /// Upstreams whose flows have ended.
    pub(crate) gone: IndexSet<UpstreamId>,
    /// Live entries, including this one.
    pub(crate) entries: IndexMap<EntryId, EntryStage>,
    /// Moves that this entry coordinates.
    pub(crate) transfers: IndexMap<BucketId, Transfer>,
    /// Buckets that this entry is fetching.
    pub(crate) pulls: IndexMap<BucketId, Pull>,
    /// Buckets that this entry wants merged by their primary, and when the next
    /// request is due.
    pub(crate) merge_requests: IndexMap<BucketId, Instant>,
    /// Queued replies, by receiver and table.
    pub(crate) replies: IndexMap<(EntryId, usize), VecDeque<Reply>>,
    pub(crate) copies: Copies,
    /// Bucket states that other entries have requested, with the hash to start
    /// after.
    pub(crate) state_requests: IndexMap<(EntryId, BucketId), Option<u64>>,
    /// Queued digests, versions and load reports.
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) sync: SyncState,
    pub(crate) loads: Loads,
    /// When the view of entries or upstreams last changed.
    pub(crate) view_changed_at: Instant,
    /// Counts packets modulo `SLOW_PATH_INTERVAL`; at zero, a packet takes the
    /// slow path.
    pub(crate) fast_path_run: u8,
    /// Whether states were sent before pins in the last poll.
    pub(crate) states_first: bool,
    pub(crate) gone_scan: GoneFlowScan,
    /// The instant from which timed steps may be due.
    pub(crate) send_at: Instant,
    pub(crate) plan_at: Instant,
    tick_at: Instant,
    sweep_round: usize,
}

impl Router {
    /// Returns a router without any upstream or other entry.
    pub fn new(settings: RouterSettings, now: Instant) -> Self {
        let tables: Vec<_> = settings
            .services
            .iter()
            .map(|s| Table::new(s.clone(), settings.buckets.clamp(1, 1 << 16)))
            .collect();
        let keys = settings.services.iter().map(|s| (s.protocol, s.address));
        Self {
            hasher: FlowHasher::new(settings.hash_key),
            services: keys.zip(0..).collect(),
            recent_service: None,
            tables,
            upstreams: UpstreamMap::default(),
            addresses: IndexMap::new(),
            gone: IndexSet::new(),
            entries: IndexMap::new(),
            transfers: IndexMap::new(),
            pulls: IndexMap::new(),
            merge_requests: IndexMap::new(),
            replies: IndexMap::new(),
            copies: Copies::new(),
            state_requests: IndexMap::new(),
            outputs: VecDeque::new(),
            sync: SyncState::new(now, settings.seed),
            loads: Loads::new(now),
            view_changed_at: now,
            fast_path_run: 0,
            states_first: false,
            gone_scan: GoneFlowScan::default(),
            send_at: now,
            plan_at: now,
            tick_at: now,
            sweep_round: 0,
            settings,
        }
    }

    /// Handles a message from entry `from`. Messages about services without a
    /// table are ignored.
    pub fn receive(&mut self, now: Instant, from: EntryId, message: &Message) {
        let service = match message {
            Message::Steps { service, .. }
            | Message::Digest { service, .. }
            | Message::Load { service, .. }
            | Message::Versions { service, .. } => *service,
        };
        let Some(t) = self.tables.iter().position(|table| table.id == service) else {
            return;
        };
        match message {
            Message::Steps { steps, .. } => {
                for bucket_step in steps {
                    self.handle_bucket_step(now, from, t, bucket_step);
                }
            }
            Message::Load { flows, .. } => self.handle_load(now, from, t, flows),
            Message::Digest { chunks, .. } => self.handle_digest(now, from, t, chunks),
            Message::Versions {
                answers_digest,
                receiver_is_live,
                chunks,
                ..
            } => self.handle_versions(now, from, t, (*answers_digest, *receiver_is_live), chunks),
        }
    }

    fn handle_bucket_step(
        &mut self,
        now: Instant,
        entry: EntryId,
        t: usize,
        bucket_step: &BucketStep,
    ) {
        let mut index: BucketIndex = 0;
        for distance in &bucket_step.buckets {
            index = index.wrapping_add(*distance);
            if usize::from(index) < self.tables[t].buckets.len() {
                self.handle_step(now, entry, (t, index), bucket_step);
            }
        }
    }

    fn handle_step(
        &mut self,
        now: Instant,
        entry: EntryId,
        bucket_id: BucketId,
        bucket_step: &BucketStep,
    ) {
        let version = bucket_step.version;
        let is_own = self.bucket_mut(bucket_id).version == version;
        match &bucket_step.step {
            Step::Prepare {
                from,
                to,
                base,
                full_list,
            } => self.handle_prepare(entry, bucket_id, version, (*from, *to), (*base, *full_list)),
            Step::Pins {
                offset,
                total,
                extras_received,
                flows,
            } => {
                let counts = (*offset, *total, *extras_received);
                self.handle_pins(now, entry, bucket_id, version, counts, flows);
            }
            Step::Commit { owner } => self.handle_commit(now, entry, bucket_id, version, *owner),
            Step::Prepared {
                already_committed,
                lacks_base,
            } if is_own => {
                self.handle_prepared(now, entry, bucket_id, (*already_committed, *lacks_base));
            }
            Step::PinsReceived {
                received,
                extras_total,
                offset,
                flows,
            } if is_own => {
                self.handle_pins_received(
                    now,
                    entry,
                    bucket_id,
                    (*received, *extras_total, *offset),
                    flows,
                );
            }
            Step::Committed if is_own => self.handle_committed(now, entry, bucket_id),
            Step::Prepared { .. } | Step::PinsReceived { .. } | Step::Committed => {}
            Step::VersionMismatch => self.handle_version_mismatch(now, entry, bucket_id, version),
            Step::Copy { flows } => self.handle_copy(now, entry, bucket_id, flows),
            Step::Copied { up_to } => self.handle_copied(now, entry, bucket_id, *up_to),
            Step::RequestMerge => self.handle_merge_request(now, bucket_id),
            Step::Pull { after } => self.handle_pull(entry, bucket_id, *after),
            Step::State {
                phase,
                after,
                has_more,
                flows,
            } => {
                let part = (*after, *has_more, flows.as_slice());
                self.handle_state(now, entry, bucket_id, (version, *phase), part);
            }
        }
    }

    /// Performs the maintenance that is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK_INTERVAL;
        self.sweep(now);
        self.check_sync(now);
        self.report_loads(now);
        if now >= self.plan_at {
            self.plan_at = now + PLAN_INTERVAL;
            for t in 0..self.tables.len() {
                self.plan(now, t);
            }
        }
    }

    /// Returns the instant at which [`Router::tick`] is next due.
    pub fn next_deadline(&self) -> Option<Instant> {
        Some(self.tick_at)
    }

    /// Returns the latest instant at which the send queues are checked again
    /// when nothing is due before.
    pub(crate) fn next_check_at(&self) -> Instant {
        self.tick_at + TICK_INTERVAL
    }

    /// Returns the number of flows that this entry has a record of.
    pub fn open_flows(&self) -> usize {
        self.tables.iter().map(|t| t.flows).sum()
    }

    /// Returns the version and phase of every bucket, so that entries can be
    /// compared.
    pub fn bucket_states(&self) -> Vec<(Version, Phase)> {
        let buckets = self.tables.iter().flat_map(|t| &t.buckets);
        buckets.map(|b| (b.version, b.phase)).collect()
    }

    /// Returns whether no move, merge request or copy is pending, so that this
    /// entry may stop once the others have seen it leave.
    pub fn may_leave(&self) -> bool {
        self.transfers.is_empty() && self.merge_requests.is_empty() && self.copies.is_empty()
    }

    /// Returns the number of buckets that this entry is moving.
    pub fn moving_buckets(&self) -> usize {
        self.transfers.len()
    }

    pub(crate) fn bucket_mut(&mut self, (t, index): BucketId) -> &mut Bucket {
        &mut self.tables[t].buckets[usize::from(index)]
    }

    /// Returns the live entries except this one.
    pub(crate) fn live_peers(&self) -> Vec<EntryId> {
        let me = self.settings.id;
        self.entries.keys().copied().filter(|e| *e != me).collect()
    }

    /// Returns whether this entry is the bucket's primary, which decides for
    /// first packets.
    pub(crate) fn is_primary(&self, (t, index): BucketId) -> bool {
        self.tables[t].buckets[usize::from(index)].primary == Some(self.settings.id)
    }

    fn sweep(&mut self, now: Instant) {
        for table in &mut self.tables {
            for index in (self.sweep_round..table.buckets.len()).step_by(SWEEP_ROUNDS) {
                table.sweep(now, index, self.settings.id);
            }
        }
        self.sweep_round = (self.sweep_round + 1) % SWEEP_ROUNDS;
    }

    /// Returns the index of the table that a packet's flow belongs to.
    pub(crate) fn table_of(&mut self, packet: &Packet) -> Option<usize> {
        // Compares in place: a copy would load in one piece what the parser has just
        // stored in several, which stalls the processor.
        if let Some(((protocol, address), t)) = &self.recent_service
            && *protocol == packet.key.protocol
            && *address == packet.key.service
        {
            return Some(*t);
        }
        let key = (packet.key.protocol, packet.key.service);
        let t = self.services.get(&key).copied()?;
        self.recent_service = Some((key, t));
        Some(t)
    }
}
