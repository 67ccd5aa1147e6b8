//! State machine of leases and liveness.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::heartbeats::fanout;
use crate::held_record::HeldRecord;
use crate::liveness::{DirectHeartbeat, ENTRY_TIMEOUT, Liveness};
use crate::outbox::{Outbox, PeerOutbox};
use crate::record::UpstreamKey;
use crate::table::UpstreamTable;
use crate::{Budget, EntryStage, EntryView, MembersSettings, Message, Output, Presence, Upstream};

/// Interval at which heartbeats are sent and leases are processed.
pub(crate) const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time that an entry receives messages before it is synced.
const MIN_SYNC_TIME: Duration = Duration::from_secs(1);

/// Time after which an entry is synced even if some records are missing.
const MAX_SYNC_TIME: Duration = Duration::from_secs(10);

/// Changes that were not yet returned as outputs.
#[derive(Debug, Default)]
pub(crate) struct PendingChanges {
    pub(crate) resync: bool,
    pub(crate) entries: bool,
    pub(crate) upstreams: bool,
}

/// Maintains the leases of upstreams and the set of live entries.
///
/// The entry starts in [`EntryStage::Joining`]; the driver changes its stage with
/// [`Members::set_stage`].
#[derive(Debug)]
pub struct Members {
    pub(crate) settings: MembersSettings,
    pub(crate) stage: EntryStage,
    pub(crate) table: UpstreamTable,
    pub(crate) liveness: Liveness,
    pub(crate) outbox: Outbox,
    pub(crate) changes: PendingChanges,
    /// Until when the last announcement proves that announcements reach this entry.
    pub(crate) announcements_until: Option<Instant>,
    /// When the rate limit of slices allows the next one.
    pub(crate) next_slice_at: Instant,
    /// Order in which the other entries get heartbeats.
    pub(crate) heartbeat_order: Vec<EntryId>,
    pub(crate) heartbeat_index: usize,
    pub(crate) heartbeat_sequence: u64,
    published_entries: Vec<EntryView>,
    next_round: Instant,
    /// Deadline for the next call; a call after it means that this entry was paused.
    pause_deadline: Instant,
    min_sync_until: Instant,
    sync_deadline: Instant,
    pub(crate) rng: ChaCha8Rng,
}

impl Members {
    /// Returns a state machine without upstreams or live entries except this one.
    pub fn new(settings: MembersSettings, now: Instant) -> Self {
        let peers = &settings.peers;
        let rounds = u32::try_from(peers.len().div_ceil(fanout(peers.len()))).unwrap_or(u32::MAX);
        let mut members = Self {
            stage: EntryStage::Joining,
            table: UpstreamTable::new(settings.max_upstreams),
            liveness: Liveness::new(peers, ROUND_INTERVAL.saturating_mul(rounds)),
            outbox: peers.iter().map(|p| (p.id, PeerOutbox::new(now))).collect(),
            changes: PendingChanges::default(),
            announcements_until: None,
            next_slice_at: now,
            heartbeat_order: peers.iter().map(|p| p.id).collect(),
            heartbeat_index: peers.len(),
            heartbeat_sequence: 0,
            published_entries: Vec::new(),
            next_round: now,
            pause_deadline: now + ENTRY_TIMEOUT,
            min_sync_until: now + MIN_SYNC_TIME,
            sync_deadline: now + MAX_SYNC_TIME,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        };
        members.refresh_entries(now);
        members
    }

    /// Sets the stage of this entry and queues a heartbeat to all others.
    ///
    /// [`EntryStage::Leaving`] is final: later changes are ignored.
    pub fn set_stage(&mut self, now: Instant, stage: EntryStage) {
        if self.stage == stage || self.stage == EntryStage::Leaving {
            return;
        }
        self.stage = stage;
        self.refresh_entries(now);
        for peer_outbox in self.outbox.values_mut() {
            peer_outbox.heartbeat = true;
        }
    }

    /// Announces to all other entries that this one leaves.
    pub fn leave(&mut self, now: Instant) {
        self.set_stage(now, EntryStage::Leaving);
    }

    /// Returns the stage of this entry.
    pub fn stage(&self) -> EntryStage {
        self.stage
    }

    /// Returns whether this entry holds the records of all reachable entries.
    ///
    /// Entries whose records it can't get delay this for a bounded time only.
    pub fn is_synced(&self, now: Instant) -> bool {
        if now < self.min_sync_until {
            return false;
        }
        now >= self.sync_deadline
            || self
                .settings
                .peers
                .iter()
                .all(|p| self.agrees_with(now, p.id))
    }

    /// Handles a message from entry `from`; messages from unknown entries are ignored.
    pub fn receive(&mut self, now: Instant, from: EntryId, message: Message) {
        self.detect_pause(now);
        if !self.liveness.is_peer(from) {
            return;
        }
        match message {
            Message::Heartbeat {
                incarnation,
                sequence,
                stage,
                digest,
                reports,
                late,
            } => {
                let heartbeat = DirectHeartbeat {
                    incarnation,
                    sequence,
                    stage,
                    digest,
                };
                self.on_heartbeat(now, from, heartbeat, &reports, &late);
            }
            Message::Records(records) => self.on_records(now, from, records),
            Message::Ack(hashes) => self.on_ack(from, &hashes),
            Message::Pull { digests } => self.on_pull(from, &digests),
            Message::Slice {
                bucket,
                from: first,
                to: last,
                records,
            } => self.on_slice(now, from, bucket, (first, last), records),
            Message::Renewed(renewals) => self.on_renewals(now, &renewals),
            Message::Suspect(keys) => self.on_suspects(now, from, &keys),
            Message::ConfirmSuspect(keys) => self.on_confirmed_suspects(&keys),
        }
    }

    /// Runs a round if one is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.detect_pause(now);
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND_INTERVAL;
        self.liveness.expire(now);
        self.refresh_entries(now);
        self.clear_outbox_of_dead(now);
        self.process_leases(now);
        self.compare_digests(now);
        self.queue_heartbeats();
    }

    /// Returns the instant at which [`Members::tick`] is next due.
    pub fn next_deadline(&self) -> Instant {
        self.next_round
    }

    /// Returns the next output; messages only while the budget allows them.
    pub fn poll_output(&mut self, now: Instant, budget: &mut Budget) -> Option<Output> {
        if let Some(change) = self.next_change() {
            return Some(change);
        }
        if !budget.can_send(now) {
            return None;
        }
        let (to, message) = self.next_message(now)?;
        Some(Output::Send { to, message })
    }

    /// Returns all known upstreams with their presence.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Upstream, Presence)> {
        self.table.upstreams()
    }

    /// Returns when the warm-up of an upstream ends and it gets its full share of flows.
    ///
    /// The warm-up starts with the upstream's first announcement to any entry.
    pub fn warmup_until(&self, id: UpstreamId) -> Option<Instant> {
        Some(self.table.find_incarnation(id)?.warmup_until)
    }

    /// Returns the load that an upstream's load endpoint reported, in percent of its
    /// capacity, if the upstream announces itself to this entry.
    pub fn load_hint(&self, id: UpstreamId) -> Option<u32> {
        self.table.find_incarnation(id)?.load
    }

    /// Returns the live entries, including this one, in ascending order of their ids.
    pub fn entries(&self) -> Vec<EntryView> {
        self.published_entries.clone()
    }

    /// Returns whether an entry is alive; always true for this one.
    pub(crate) fn is_live(&self, now: Instant, id: EntryId) -> bool {
        id == self.settings.id || self.liveness.is_alive(now, id)
    }

    /// Stores a record and clears the digests of its old and new owner, whose sets change.
    pub(crate) fn store(&mut self, now: Instant, key: UpstreamKey, held: HeldRecord) {
        if let Some(old) = self.table.get(key) {
            self.liveness.clear_digest(old.record.owner);
        }
        self.liveness.clear_digest(held.record.owner);
        self.table.put(now, key, held);
    }

    /// Queues a record for all live entries.
    pub(crate) fn queue_for_live_entries(&mut self, now: Instant, key: UpstreamKey) {
        for (id, peer_outbox) in &mut self.outbox {
            if self.liveness.is_alive(now, *id) {
                peer_outbox.queue_record(now, key);
            }
        }
    }

    fn next_change(&mut self) -> Option<Output> {
        if std::mem::take(&mut self.changes.resync) {
            return Some(Output::Resync);
        }
        if std::mem::take(&mut self.changes.entries) {
            return Some(Output::EntriesChanged);
        }
        if std::mem::take(&mut self.changes.upstreams) {
            return Some(Output::UpstreamsChanged);
        }
        None
    }

    /// Rejoins with a new incarnation if this entry was paused for so long that the others
    /// have declared it dead.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let was_paused = now > self.pause_deadline;
        self.pause_deadline = now + ENTRY_TIMEOUT;
        if !was_paused {
            return;
        }
        self.settings.incarnation = self.settings.incarnation.saturating_add(1);
        self.liveness.restart_timeouts(now);
        self.restart_leases(now);
        self.min_sync_until = now + MIN_SYNC_TIME;
        self.sync_deadline = now + MAX_SYNC_TIME;
        self.changes.resync = true;
        self.set_stage(now, EntryStage::Joining);
    }

    pub(crate) fn refresh_entries(&mut self, now: Instant) {
        let mut views: Vec<_> = self.liveness.views(now).collect();
        views.push(EntryView {
            id: self.settings.id,
            stage: self.stage,
            domain: self.settings.domain.clone(),
        });
        views.sort_unstable_by_key(|view| view.id);
        if views != self.published_entries {
            self.published_entries = views;
            self.changes.entries = true;
        }
    }

    /// Returns a random number below `bound`.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }
}
