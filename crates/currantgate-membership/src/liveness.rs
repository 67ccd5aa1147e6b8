//! Failure detection for the other entries.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, Peer};
use indexmap::IndexMap;

use crate::message::LivenessReport;
use crate::{EntryStage, EntryView};

/// Time without a direct heartbeat or a report of one after which an entry is
/// considered dead.
pub(crate) const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Unit of the age in liveness reports.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// Maximum number of entries that one heartbeat reports on.
const MAX_REPORTS: usize = 64;

/// Fields of a direct heartbeat that describe its sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectHeartbeat {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) stage: EntryStage,
    pub(crate) digest: u64,
}

/// State of one other entry.
#[derive(Debug)]
struct PeerState {
    peer: Peer,
    /// Incarnation in its newest direct heartbeat.
    incarnation: Incarnation,
    /// Sequence number of its newest direct heartbeat.
    sequence: u64,
    /// Tag of its incarnation in reports.
    tag: u8,
    stage: EntryStage,
    alive_until: Option<Instant>,
    reachable_until: Option<Instant>,
    digest: Option<u64>,
}

impl PeerState {
    fn is_alive(&self, now: Instant) -> bool {
        self.alive_until.is_some_and(|deadline| deadline > now)
    }
}

/// Failure detector that combines direct heartbeats and reports of other entries.
///
/// An entry is alive while any entry has recently received a heartbeat from it,
/// because silence at a single VM is no proof of a failure. Reports carry the age
/// of the heartbeat, so that passing them on can't keep a dead entry alive.
#[derive(Debug)]
pub(crate) struct Liveness {
    /// Time without a direct heartbeat after which an entry counts as unreachable.
    reachable_timeout: Duration,
    entries: IndexMap<EntryId, PeerState>,
    /// Index at which the next reports start, so that all entries are reported on in turn.
    next_report: usize,
}

impl Liveness {
    /// Returns a detector for `peers`, each of which sends one direct heartbeat per `cycle`.
    pub(crate) fn new(peers: &[Peer], cycle: Duration) -> Self {
        let state = |peer: &Peer| PeerState {
            peer: peer.clone(),
            incarnation: 0,
            sequence: 0,
            tag: 0,
            stage: EntryStage::Joining,
            alive_until: None,
            reachable_until: None,
            digest: None,
        };
        Self {
            reachable_timeout: ENTRY_TIMEOUT + cycle * 2,
            entries: peers.iter().map(|p| (p.id, state(p))).collect(),
            next_report: 0,
        }
    }

    /// Returns whether `id` is one of the other entries of the site.
    pub(crate) fn is_peer(&self, id: EntryId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns whether any entry has recently received a heartbeat from `id`.
    pub(crate) fn is_alive(&self, now: Instant, id: EntryId) -> bool {
        self.entries.get(&id).is_some_and(|k| k.is_alive(now))
    }

    /// Returns whether this entry itself has recently received a heartbeat from `id`.
    pub(crate) fn is_reachable(&self, now: Instant, id: EntryId) -> bool {
        let reachable_until = self.entries.get(&id).and_then(|k| k.reachable_until);
        reachable_until.is_some_and(|deadline| deadline > now)
    }

    /// Returns the digest in the last direct heartbeat of `id`, unless it was cleared.
    pub(crate) fn digest(&self, id: EntryId) -> Option<u64> {
        self.entries.get(&id)?.digest
    }

    /// Clears the digest of an entry whose set has changed here; the next heartbeat
    /// shows whether the two agree.
    pub(crate) fn clear_digest(&mut self, id: EntryId) {
        if let Some(state) = self.entries.get_mut(&id) {
            state.digest = None;
        }
    }

    /// Returns the other entries that are alive.
    pub(crate) fn views(&self, now: Instant) -> impl Iterator<Item = EntryView> {
        let alive = self.entries.values().filter(move |k| k.is_alive(now));
        alive.map(|k| EntryView {
            id: k.peer.id,
            stage: k.stage,
            domain: k.peer.domain.clone(),
        })
    }

    /// Handles a direct heartbeat; returns whether it is newer than the last one.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: EntryId,
        heartbeat: DirectHeartbeat,
    ) -> bool {
        let Some(state) = self.entries.get_mut(&from) else {
            return false;
        };
        // After a timeout, a lower incarnation is accepted as a restart, because the
        // entry's clock may have gone back.
        let is_newer =
            (heartbeat.incarnation, heartbeat.sequence) > (state.incarnation, state.sequence);
        let is_restart = heartbeat.incarnation != state.incarnation && !state.is_alive(now);
        if !is_newer && !is_restart {
            return false;
        }
        state.incarnation = heartbeat.incarnation;
        state.sequence = heartbeat.sequence;
        state.tag = incarnation_tag(heartbeat.incarnation);
        state.stage = heartbeat.stage;
        state.alive_until = Some(now + ENTRY_TIMEOUT);
        state.reachable_until = Some(now + self.reachable_timeout);
        state.digest = Some(heartbeat.digest);
        true
    }

    /// Handles the report of an entry on a third one.
    pub(crate) fn on_report(&mut self, now: Instant, report: LivenessReport) {
        let Some(state) = self.entries.get_mut(&report.id) else {
            return;
        };
        let age = AGE_UNIT * u32::from(report.age);
        let Some(left) = ENTRY_TIMEOUT.checked_sub(age).filter(|l| !l.is_zero()) else {
            return;
        };
        let tag = report.tag >> 2;
        if state.is_alive(now) && state.tag != tag {
            return;
        }
        let deadline = now + left;
        if state.alive_until.is_none_or(|current| current < deadline) {
            state.alive_until = Some(deadline);
            state.tag = tag;
            state.stage = unpack_stage(report.tag);
        }
    }

    /// Returns the reports for a heartbeat to `to`.
    pub(crate) fn reports(&mut self, now: Instant, to: EntryId) -> Vec<LivenessReport> {
        let count = self.entries.len();
        let start = self.next_report;
        let rotated = (0..count).map(|i| (start + i) % count);
        let states = rotated.filter_map(|i| self.entries.get_index(i));
        let others = states.filter(|(id, _)| **id != to);
        let reports = others.filter_map(|(_, state)| report(now, state));
        let reports: Vec<_> = reports.take(MAX_REPORTS).collect();
        if reports.len() == MAX_REPORTS {
            self.next_report = (start + MAX_REPORTS) % count;
        }
        reports
    }

    /// Restarts the timeout of all live entries after this entry itself was paused.
    pub(crate) fn restart_timeouts(&mut self, now: Instant) {
        for state in self.entries.values_mut() {
            if state.alive_until.is_some() {
                state.alive_until = Some(now + ENTRY_TIMEOUT);
            }
            state.reachable_until = None;
            state.digest = None;
        }
    }

    /// Clears the deadlines that have passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        for state in self.entries.values_mut() {
            state.alive_until = state.alive_until.filter(|deadline| *deadline > now);
            state.reachable_until = state.reachable_until.filter(|deadline| *deadline > now);
        }
    }
}

fn report(now: Instant, state: &PeerState) -> Option<LivenessReport> {
    let left = state.alive_until?.checked_duration_since(now)?;
    let age = ENTRY_TIMEOUT.saturating_sub(left);
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    Some(LivenessReport {
        id: state.peer.id,
        age: u8::try_from(units).ok()?,
        tag: state.tag << 2 | pack_stage(state.stage),
    })
}

/// Hashes an incarnation to the 6 bits that reports carry.
fn incarnation_tag(incarnation: Incarnation) -> u8 {
    let mixed = incarnation.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 58) as u8
}

fn pack_stage(stage: EntryStage) -> u8 {
    match stage {
        EntryStage::Joining => 0,
        EntryStage::Serving => 1,
        EntryStage::Leaving => 2,
    }
}

fn unpack_stage(tag: u8) -> EntryStage {
    match tag & 3 {
        1 => EntryStage::Serving,
        2 => EntryStage::Leaving,
        _ => EntryStage::Joining,
    }
}
