//! Which other entries are alive.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, Peer};
use indexmap::IndexMap;

use crate::message::LivenessReport;
use crate::{EntryStage, EntryView};

/// Time without any sign of life after which an entry counts as dead.
pub(crate) const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// The unit in which a heartbeat gives the time since a sign of life.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// The most other entries that one heartbeat reports on.
const MAX_HEARD: usize = 64;

/// What the direct heartbeat of an entry says of the entry itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beat {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) stage: EntryStage,
    pub(crate) digest: u64,
}

/// What is known of one other entry.
#[derive(Debug)]
struct Known {
    peer: Peer,
    /// The newest start that a direct heartbeat told of.
    incarnation: Incarnation,
    /// The sequence of its newest direct heartbeat.
    sequence: u64,
    /// Tells its starts apart in what others report.
    tag: u8,
    stage: EntryStage,
    alive_until: Option<Instant>,
    heard_until: Option<Instant>,
    digest: Option<u64>,
}

impl Known {
    fn is_alive(&self, now: Instant) -> bool {
        self.alive_until.is_some_and(|deadline| deadline > now)
    }
}

/// Keeps what is known of each other entry.
///
/// An entry is alive while any entry has lately had a sign of life from it:
/// one VM's view of silence is no proof. Reports of others carry the age of
/// the sign, so that passing them on can't keep a dead entry alive.
#[derive(Debug)]
pub(crate) struct Liveness {
    /// Silence after which an entry can no longer be told anything directly.
    heard_timeout: Duration,
    entries: IndexMap<EntryId, Known>,
    /// Where the next report starts, so that all get their turn.
    next_report: usize,
}

impl Liveness {
    /// Direct heartbeats come one in each `cycle`.
    pub(crate) fn new(peers: &[Peer], cycle: Duration) -> Self {
        let known = |peer: &Peer| Known {
            peer: peer.clone(),
            incarnation: 0,
            sequence: 0,
            tag: 0,
            stage: EntryStage::Joining,
            alive_until: None,
            heard_until: None,
            digest: None,
        };
        Self {
            heard_timeout: ENTRY_TIMEOUT + cycle * 2,
            entries: peers.iter().map(|p| (p.id, known(p))).collect(),
            next_report: 0,
        }
    }

    /// Tells whether `id` is one of the other entries of the site.
    pub(crate) fn is_peer(&self, id: EntryId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Tells whether any entry has lately heard from `id`.
    pub(crate) fn is_alive(&self, now: Instant, id: EntryId) -> bool {
        self.entries.get(&id).is_some_and(|k| k.is_alive(now))
    }

    /// Tells whether this entry itself has lately heard from `id`.
    pub(crate) fn is_heard(&self, now: Instant, id: EntryId) -> bool {
        let heard_until = self.entries.get(&id).and_then(|k| k.heard_until);
        heard_until.is_some_and(|deadline| deadline > now)
    }

    /// Returns the digest of the last direct heartbeat of `id`.
    pub(crate) fn digest(&self, id: EntryId) -> Option<u64> {
        self.entries.get(&id)?.digest
    }

    /// Forgets the digest of an entry whose set, as it is known here, changes:
    /// the next heartbeat tells whether the two agree.
    pub(crate) fn forget_digest(&mut self, id: EntryId) {
        if let Some(known) = self.entries.get_mut(&id) {
            known.digest = None;
        }
    }

    /// Returns the live other entries.
    pub(crate) fn views(&self, now: Instant) -> impl Iterator<Item = EntryView> {
        let alive = self.entries.values().filter(move |k| k.is_alive(now));
        alive.map(|k| EntryView {
            id: k.peer.id,
            stage: k.stage,
            domain: k.peer.domain.clone(),
        })
    }

    /// Takes a direct heartbeat; tells whether it is news.
    pub(crate) fn take_beat(&mut self, now: Instant, from: EntryId, beat: Beat) -> bool {
        let Some(known) = self.entries.get_mut(&from) else {
            return false;
        };
        // Once an entry has timed out, a start with a lower number is believed:
        // its clock may have gone back.
        let is_newer = (beat.incarnation, beat.sequence) > (known.incarnation, known.sequence);
        let is_restart = beat.incarnation != known.incarnation && !known.is_alive(now);
        if !is_newer && !is_restart {
            return false;
        }
        known.incarnation = beat.incarnation;
        known.sequence = beat.sequence;
        known.tag = start_tag(beat.incarnation);
        known.stage = beat.stage;
        known.alive_until = Some(now + ENTRY_TIMEOUT);
        known.heard_until = Some(now + self.heard_timeout);
        known.digest = Some(beat.digest);
        true
    }

    /// Takes another entry's report on a third one.
    pub(crate) fn take_report(&mut self, now: Instant, heard: LivenessReport) {
        let Some(known) = self.entries.get_mut(&heard.id) else {
            return;
        };
        let age = AGE_UNIT * u32::from(heard.age);
        let Some(left) = ENTRY_TIMEOUT.checked_sub(age).filter(|l| !l.is_zero()) else {
            return;
        };
        let tag = heard.tag >> 2;
        if known.is_alive(now) && known.tag != tag {
            return;
        }
        let deadline = now + left;
        if known.alive_until.is_none_or(|known| known < deadline) {
            known.alive_until = Some(deadline);
            known.tag = tag;
            known.stage = unpack_stage(heard.tag);
        }
    }

    /// Returns what a heartbeat to `to` reports on the other entries.
    pub(crate) fn reports(&mut self, now: Instant, to: EntryId) -> Vec<LivenessReport> {
        let count = self.entries.len();
        let start = self.next_report;
        let turn = (0..count).map(|i| (start + i) % count);
        let known = turn.filter_map(|i| self.entries.get_index(i));
        let others = known.filter(|(id, _)| **id != to);
        let heard = others.filter_map(|(_, known)| report(now, known));
        let heard: Vec<_> = heard.take(MAX_HEARD).collect();
        if heard.len() == MAX_HEARD {
            self.next_report = (start + MAX_HEARD) % count;
        }
        heard
    }

    /// Gives the entries that were alive another period, after this entry
    /// itself has stood still.
    pub(crate) fn restart(&mut self, now: Instant) {
        for known in self.entries.values_mut() {
            if known.alive_until.is_some() {
                known.alive_until = Some(now + ENTRY_TIMEOUT);
            }
            known.heard_until = None;
            known.digest = None;
        }
    }

    /// Lets go of the signs of life that have become too old.
    pub(crate) fn expire(&mut self, now: Instant) {
        for known in self.entries.values_mut() {
            known.alive_until = known.alive_until.filter(|deadline| *deadline > now);
            known.heard_until = known.heard_until.filter(|deadline| *deadline > now);
        }
    }
}

fn report(now: Instant, known: &Known) -> Option<LivenessReport> {
    let left = known.alive_until?.checked_duration_since(now)?;
    let age = ENTRY_TIMEOUT.saturating_sub(left);
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    Some(LivenessReport {
        id: known.peer.id,
        age: u8::try_from(units).ok()?,
        tag: known.tag << 2 | pack_stage(known.stage),
    })
}

/// Folds an incarnation to the 6 bits that reports have room for.
fn start_tag(incarnation: Incarnation) -> u8 {
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
