//! The upstreams that report to one control VM.

use std::collections::BTreeMap;
use std::time::Instant;

use indexmap::IndexMap;

use crate::{Record, RegistrySettings, Report, ReportVersion, UpstreamId, UpstreamState};

/// Counts changes, so that each listener is told what it does not know yet.
pub type ChangeNumber = u64;

#[derive(Debug)]
struct Kept {
    record: Record,
    heard: Instant,
    change: ChangeNumber,
}

/// The upstreams that report to one control VM.
#[derive(Debug)]
pub struct UpstreamRegistry {
    settings: RegistrySettings,
    upstreams: IndexMap<UpstreamId, Kept>,
    /// Which upstream each change was about, oldest first, newest change of
    /// each upstream only.
    changes: BTreeMap<ChangeNumber, UpstreamId>,
    last_change: ChangeNumber,
}

impl UpstreamRegistry {
    /// Starts without upstreams.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
            changes: BTreeMap::new(),
            last_change: 0,
        }
    }

    /// Takes a report; returns whether it is the newest of its upstream.
    ///
    /// Reports can arrive late, after later ones or after the upstream's end.
    pub fn apply_report(&mut self, now: Instant, report: Report) -> bool {
        let full = self.upstreams.len() >= self.settings.max_upstreams;
        let Some(kept) = self.upstreams.get_mut(&report.id) else {
            if full {
                log::warn!("upstream {} is left out: there are too many", report.id);
                return false;
            }
            self.insert(now, report);
            return true;
        };
        let known = &kept.record.report;
        if report.version <= known.version {
            return false;
        }
        kept.heard = now;
        // A gap in the numbers tells that reports went to another control VM,
        // so listeners must learn that the upstream is here again.
        let follows = report.version.sequence == known.version.sequence.wrapping_add(1);
        let is_news = kept.record.is_silent || !follows || !says_the_same(known, &report);
        kept.record = Record {
            report,
            is_silent: false,
        };
        if is_news {
            let id = kept.record.report.id.clone();
            self.note_change(&id);
        }
        true
    }

    /// Takes the word of an upstream that it has left.
    ///
    /// Without `started_ms` it is the incarnation that is known.
    pub fn mark_left(&mut self, now: Instant, id: &str, started_ms: Option<u64>) -> bool {
        let Some(kept) = self.upstreams.get_mut(id) else {
            self.insert(now, Report::departure(id, started_ms));
            return true;
        };
        let known = kept.record.report.version;
        if started_ms.is_some_and(|started_ms| started_ms < known.started_ms) {
            return false;
        }
        kept.heard = now;
        kept.record.report.state = UpstreamState::Gone;
        // No report of this incarnation can come after its last word.
        kept.record.report.version = ReportVersion {
            started_ms: started_ms.unwrap_or(known.started_ms),
            sequence: u64::MAX,
        };
        self.note_change(id);
        true
    }

    /// Returns what is known, to be kept over a restart.
    pub fn snapshot(&self) -> Vec<Record> {
        self.iter().cloned().collect()
    }

    /// Returns what is known, one upstream after the other.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.upstreams.values().map(|kept| &kept.record)
    }

    /// Takes what was known before a restart: upstreams that still report are
    /// in use at once, and the others fall silent.
    pub fn restore(&mut self, now: Instant, records: Vec<Record>) {
        for record in records {
            let id = record.report.id.clone();
            if self.upstreams.contains_key(&id) {
                continue;
            }
            let is_silent = record.is_silent;
            self.insert(now, record.report);
            if let Some(kept) = self.upstreams.get_mut(&id) {
                kept.record.is_silent = is_silent;
            }
        }
    }

    /// Finds upstreams that fell silent, and forgets those long gone.
    pub fn expire(&mut self, now: Instant) {
        let silent_after = self.settings.silent_after;
        let is_overdue = |kept: &Kept| {
            let ends = kept.record.report.state == UpstreamState::Gone;
            !ends && !kept.record.is_silent && now >= kept.heard + silent_after
        };
        let overdue: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, kept)| is_overdue(kept))
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.upstreams[&id].record.is_silent = true;
            self.note_change(&id);
        }
        let forget_after = self.settings.forget_after;
        let changes = &mut self.changes;
        self.upstreams.retain(|_, kept| {
            let keep = now < kept.heard + forget_after;
            if !keep {
                changes.remove(&kept.change);
            }
            keep
        });
    }

    /// Returns the number of the newest change.
    pub fn last_change(&self) -> ChangeNumber {
        self.last_change
    }

    /// Returns what has changed after the given change.
    pub fn changes_after(&self, change: ChangeNumber) -> Vec<Record> {
        self.changes
            .range(change + 1..)
            .filter_map(|(_, id)| self.upstreams.get(id))
            .map(|kept| kept.record.clone())
            .collect()
    }

    /// Returns how many upstreams are known, gone ones included.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Tells whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    fn insert(&mut self, now: Instant, report: Report) {
        let id = report.id.clone();
        let kept = Kept {
            record: Record {
                report,
                is_silent: false,
            },
            heard: now,
            change: 0,
        };
        self.upstreams.insert(id.clone(), kept);
        self.note_change(&id);
    }

    fn note_change(&mut self, id: &str) {
        let Some(kept) = self.upstreams.get_mut(id) else {
            return;
        };
        self.changes.remove(&kept.change);
        self.last_change += 1;
        kept.change = self.last_change;
        self.changes.insert(self.last_change, id.into());
    }
}

/// Tells whether two reports differ in nothing that an entry would act on.
fn says_the_same(a: &Report, b: &Report) -> bool {
    a.version.started_ms == b.version.started_ms
        && a.service == b.service
        && a.address == b.address
        && a.domain == b.domain
        && a.slots == b.slots
        && a.state == b.state
        && a.warmup_remaining.is_zero() == b.warmup_remaining.is_zero()
}
