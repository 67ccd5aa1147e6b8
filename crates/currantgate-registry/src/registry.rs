//! The upstreams that report to one control VM.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{
    NamedServices, Record, RegistrySettings, Report, ReportVersion, UpstreamId, UpstreamState,
};

/// Number of a change, by which each listener gets the changes that it lacks.
pub type ChangeNumber = u64;

/// Time by which the end of a warm-up may move without a new record. Reports arrive with
/// varying delays; entries add a margin for it.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(100);

/// An upstream in the registry.
#[derive(Debug)]
struct RegisteredUpstream {
    record: Record,
    /// Time at which the last report or departure was received.
    received_at: Instant,
    /// End of the warm-up by the record that listeners have been sent.
    warm_at: Instant,
    /// Number of the last change of the record.
    change: ChangeNumber,
}

/// The upstreams that report to one control VM.
#[derive(Debug)]
pub struct UpstreamRegistry {
    settings: RegistrySettings,
    services: NamedServices,
    upstreams: IndexMap<UpstreamId, RegisteredUpstream>,
    /// Upstreams by the number of their last change, oldest first.
    changes: BTreeMap<ChangeNumber, UpstreamId>,
    last_change: ChangeNumber,
}

impl UpstreamRegistry {
    /// Returns a registry without upstreams.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            services: NamedServices::default(),
            upstreams: IndexMap::new(),
            changes: BTreeMap::new(),
            last_change: 0,
        }
    }

    /// Sets the services that the configuration in force names.
    pub fn set_services(&mut self, services: NamedServices) {
        self.services = services;
    }

    /// Returns whether the configuration in force names a service.
    pub fn names_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Applies a report; returns whether it is the newest one of its upstream.
    ///
    /// Older reports are ignored: a report can arrive after later ones or after the
    /// upstream's departure. So are reports of services that the configuration in force
    /// doesn't name, unless the upstream is known with that service: it may be named again.
    pub fn apply_report(&mut self, now: Instant, mut report: Report) -> bool {
        report.limit_warmup();
        let is_named = self.services.contains(&report.service);
        let Some(upstream) = self.upstreams.get_mut(&report.id) else {
            if !is_named {
                return false;
            }
            if !self.make_room() {
                log::warn!("upstream {} is ignored: the registry is full", report.id);
                return false;
            }
            self.insert(now, report);
            return true;
        };
        let known = &upstream.record.report;
        let is_same = known.service == report.service;
        if !is_same && !is_named {
            return false;
        }
        let replaces_unnamed = !is_same && is_unnamed(&self.services, known);
        if report.version <= known.version && !replaces_unnamed {
            return false;
        }
        upstream.received_at = now;
        // A gap in the sequence means that reports went to another control VM in between,
        // so that listeners must be informed that the upstream reports here again.
        let is_consecutive = report.version.sequence == known.version.sequence.wrapping_add(1);
        // Of a shorter warm-up, entries are informed when it has ended.
        let warm_at = now + report.warmup_remaining;
        let is_longer_cold =
            !report.warmup_remaining.is_zero() && warm_at > upstream.warm_at + WARMUP_TOLERANCE;
        let is_change = upstream.record.is_silent
            || !is_consecutive
            || is_longer_cold
            || !is_equivalent(known, &report);
        upstream.record = Record {
            report,
            is_silent: false,
        };
        if is_change {
            upstream.warm_at = warm_at;
            let id = upstream.record.report.id.clone();
            self.record_change(&id);
        }
        true
    }

    /// Marks an upstream as gone; returns whether the departure applied.
    ///
    /// `started_ms` identifies the incarnation that has left; without it, it is the known
    /// one. The departure of an earlier incarnation is ignored.
    pub fn mark_left(&mut self, now: Instant, id: &str, started_ms: Option<u64>) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            self.insert(now, Report::departure(id, started_ms));
            return true;
        };
        let known = upstream.record.report.version;
        if started_ms.is_some_and(|started_ms| started_ms < known.started_ms) {
            return false;
        }
        upstream.received_at = now;
        upstream.record.report.state = UpstreamState::Gone;
        // The departure is ordered after all reports of its incarnation.
        upstream.record.report.version = ReportVersion {
            started_ms: started_ms.unwrap_or(known.started_ms),
            sequence: u64::MAX,
        };
        self.record_change(id);
        true
    }

    /// Returns all records, to be restored after a restart.
    pub fn snapshot(&self) -> Vec<Record> {
        self.iter().cloned().collect()
    }

    /// Returns an iterator over all records.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.upstreams.values().map(|upstream| &upstream.record)
    }

    /// Restores records from before a restart. Upstreams that still report are in use at
    /// once; the others become silent when their reports are overdue.
    pub fn restore(&mut self, now: Instant, records: Vec<Record>) {
        for mut record in records {
            record.report.limit_warmup();
            let id = record.report.id.clone();
            if self.upstreams.contains_key(&id) {
                continue;
            }
            let is_silent = record.is_silent;
            self.insert(now, record.report);
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.record.is_silent = is_silent;
            }
        }
    }

    /// Marks upstreams as silent whose reports are overdue, and removes those that have
    /// not reported for `forget_after`.
    pub fn expire(&mut self, now: Instant) {
        let silent_after = self.settings.silent_after;
        let is_overdue = |upstream: &RegisteredUpstream| {
            let has_left = upstream.record.report.state == UpstreamState::Gone;
            !has_left && !upstream.record.is_silent && now >= upstream.received_at + silent_after
        };
        let overdue: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_overdue(upstream))
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.upstreams[&id].record.is_silent = true;
            self.record_change(&id);
        }
        let forget_after = self.settings.forget_after;
        let changes = &mut self.changes;
        self.upstreams.retain(|_, upstream| {
            let keep = now < upstream.received_at + forget_after;
            if !keep {
                changes.remove(&upstream.change);
            }
            keep
        });
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> ChangeNumber {
        self.last_change
    }

    /// Returns the records that have changed after the given change.
    pub fn changes_after(&self, change: ChangeNumber) -> Vec<Record> {
        self.changes
            .range(change + 1..)
            .filter_map(|(_, id)| self.upstreams.get(id))
            .map(|upstream| upstream.record.clone())
            .collect()
    }

    /// Returns the number of known upstreams, including those that have left.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Tells whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Makes room for another upstream, in place of one whose service is not named if the
    /// registry is full; returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.upstreams.len() < self.settings.max_upstreams {
            return true;
        }
        let mut upstreams = self.upstreams.values();
        let is_unnamed = |u: &RegisteredUpstream| is_unnamed(&self.services, &u.record.report);
        let Some(index) = upstreams.position(is_unnamed) else {
            return false;
        };
        if let Some((_, removed)) = self.upstreams.swap_remove_index(index) {
            self.changes.remove(&removed.change);
        }
        true
    }

    /// Adds an upstream that is not known yet.
    fn insert(&mut self, now: Instant, report: Report) {
        let id = report.id.clone();
        let warm_at = now + report.warmup_remaining;
        let upstream = RegisteredUpstream {
            record: Record {
                report,
                is_silent: false,
            },
            received_at: now,
            warm_at,
            change: 0,
        };
        self.upstreams.insert(id.clone(), upstream);
        self.record_change(&id);
    }

    /// Assigns the next change number to an upstream.
    fn record_change(&mut self, id: &str) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        self.changes.remove(&upstream.change);
        self.last_change += 1;
        upstream.change = self.last_change;
        self.changes.insert(self.last_change, id.into());
    }
}

/// Tells whether a report is of a service that is not named. A departure is of any service.
fn is_unnamed(services: &NamedServices, report: &Report) -> bool {
    !report.is_departure() && !services.contains(&report.service)
}

/// Tells whether two reports are the same in all that affects routing at entries.
fn is_equivalent(a: &Report, b: &Report) -> bool {
    a.version.started_ms == b.version.started_ms
        && a.service == b.service
        && a.address == b.address
        && a.domain == b.domain
        && a.slots == b.slots
        && a.state == b.state
        && a.warmup_remaining.is_zero() == b.warmup_remaining.is_zero()
}
