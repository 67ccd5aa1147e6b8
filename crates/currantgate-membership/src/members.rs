//! The membership state machine.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::heartbeats::fanout;
use crate::held::HeldRecord;
use crate::liveness::{DirectHeartbeat, ENTRY_TIMEOUT, Liveness};
use crate::outbox::{Outbox, PeerOutbox};
use crate::record::UpstreamKey;
use crate::table::UpstreamTable;
use crate::{Budget, EntryStage, EntryView, MembersSettings, Message, Output, Presence, Upstream};

/// How often heartbeats are sent and leases are looked through.
pub(crate) const ROUND: Duration = Duration::from_millis(250);

/// The least time that an entry listens before it counts as synced.
const LISTEN_TIME: Duration = Duration::from_secs(1);

/// The most time that an entry waits for records that it can't get.
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);

/// Changes that the caller has not been told of.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    pub(crate) resync: bool,
    pub(crate) entries: bool,
    pub(crate) upstreams: bool,
}

/// Keeps upstream leases and the set of live entries.
///
/// It starts in [`EntryStage::Joining`]; the caller moves it on with
/// [`Members::set_stage`].
#[derive(Debug)]
pub struct Members {
    pub(crate) settings: MembersSettings,
    pub(crate) stage: EntryStage,
    pub(crate) table: UpstreamTable,
    pub(crate) liveness: Liveness,
    pub(crate) outbox: Outbox,
    pub(crate) changes: Changes,
    /// When the last announcement stops to prove that they get through.
    pub(crate) announcements_until: Option<Instant>,
    /// When the next slice may be sent.
    pub(crate) next_slice_at: Instant,
    /// The other entries in the order in which heartbeats reach them.
    pub(crate) heartbeat_order: Vec<EntryId>,
    pub(crate) heartbeat_index: usize,
    pub(crate) heartbeat_sequence: u64,
    shown: Vec<EntryView>,
    next_round: Instant,
    /// Without a call until then, this entry has stood still.
    awake_until: Instant,
    listen_until: Instant,
    sync_until: Instant,
    pub(crate) rng: ChaCha8Rng,
}

impl Members {
    /// Returns a machine that knows no one but itself.
    pub fn new(settings: MembersSettings, now: Instant) -> Self {
        let peers = &settings.peers;
        let rounds = u32::try_from(peers.len().div_ceil(fanout(peers.len()))).unwrap_or(u32::MAX);
        let mut members = Self {
            stage: EntryStage::Joining,
            table: UpstreamTable::new(settings.max_upstreams),
            liveness: Liveness::new(peers, ROUND.saturating_mul(rounds)),
            outbox: peers.iter().map(|p| (p.id, PeerOutbox::new(now))).collect(),
            changes: Changes::default(),
            announcements_until: None,
            next_slice_at: now,
            heartbeat_order: peers.iter().map(|p| p.id).collect(),
            heartbeat_index: peers.len(),
            heartbeat_sequence: 0,
            shown: Vec::new(),
            next_round: now,
            awake_until: now + ENTRY_TIMEOUT,
            listen_until: now + LISTEN_TIME,
            sync_until: now + SYNC_TIMEOUT,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        };
        members.refresh_entries(now);
        members
    }

    /// Moves this entry to another stage of its life and tells all others.
    ///
    /// Leaving is the last stage; nothing leads out of it.
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

    /// Tells all other entries that this one leaves.
    pub fn leave(&mut self, now: Instant) {
        self.set_stage(now, EntryStage::Leaving);
    }

    /// Returns the stage of this entry's life.
    pub fn stage(&self) -> EntryStage {
        self.stage
    }

    /// Tells whether this entry knows what the live others know of upstreams.
    ///
    /// Others that it can't agree with hold it up for a bounded time only.
    pub fn is_synced(&self, now: Instant) -> bool {
        if now < self.listen_until {
            return false;
        }
        now >= self.sync_until
            || self
                .settings
                .peers
                .iter()
                .all(|p| self.agrees_with(now, p.id))
    }

    /// Takes a message that entry `from` sent.
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

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.detect_pause(now);
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND;
        self.liveness.expire(now);
        self.refresh_entries(now);
        self.clear_outbox_of_dead(now);
        self.process_leases(now);
        self.compare_digests(now);
        self.queue_heartbeats();
    }

    /// Returns the instant at which [`Members::tick`] is next wanted.
    pub fn next_deadline(&self) -> Instant {
        self.next_round
    }

    /// Returns the next thing to do, or no message while the budget is closed.
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

    /// Returns all known upstreams and how sure their presence is.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Upstream, Presence)> {
        self.table.upstreams()
    }

    /// Returns when the share of an upstream is at its full size.
    ///
    /// It counts from the upstream's first announcement to any entry.
    pub fn warmup_until(&self, id: UpstreamId) -> Option<Instant> {
        Some(self.table.find_incarnation(id)?.warmup_until)
    }

    /// Returns what an upstream's load endpoint said, if it announces itself
    /// here, in percent of its capacity.
    pub fn load_hint(&self, id: UpstreamId) -> Option<u32> {
        self.table.find_incarnation(id)?.load
    }

    /// Returns the live entries in ascending order, this one included.
    pub fn entries(&self) -> Vec<EntryView> {
        self.shown.clone()
    }

    /// Tells whether an entry, which may be this one, is alive.
    pub(crate) fn is_live(&self, now: Instant, id: EntryId) -> bool {
        id == self.settings.id || self.liveness.is_alive(now, id)
    }

    /// Stores a record, which changes the sets of its old and new owner.
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

    /// Starts anew when this entry has stood still for so long that the others
    /// have taken it for dead.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let is_asleep = now > self.awake_until;
        self.awake_until = now + ENTRY_TIMEOUT;
        if !is_asleep {
            return;
        }
        self.settings.incarnation = self.settings.incarnation.saturating_add(1);
        self.liveness.restart_timeouts(now);
        self.restart_leases(now);
        self.listen_until = now + LISTEN_TIME;
        self.sync_until = now + SYNC_TIMEOUT;
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
        if views != self.shown {
            self.shown = views;
            self.changes.entries = true;
        }
    }

    /// Returns a random number for spreading load over time.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }
}
