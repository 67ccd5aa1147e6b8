//! What an entry knows of all upstreams, from several control VMs.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::{Record, Report, ReportVersion, UpstreamId, UpstreamState, ViewSettings};

/// Whether an upstream may get new flows, as far as reports tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It is ready, and a control VM in reach hears it.
    Ready,
    /// Nobody in reach hears it: it may be dead or cut off.
    Silent,
    /// It drains, has left or its address is in use by a later one.
    Closed,
}

/// An upstream as the view tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The newest report.
    pub report: Report,
    /// When it is no longer slow from its start.
    pub warm_at: Instant,
    /// Whether it may get new flows.
    pub availability: Availability,
}

#[derive(Debug)]
struct Heard {
    version: ReportVersion,
    is_silent: bool,
}

#[derive(Debug)]
struct Known {
    report: Report,
    warm_at: Instant,
    /// The newest word of each control VM in reach.
    heard: IndexMap<SocketAddr, Heard>,
    /// Until when it counts as alive although nobody in reach hears it.
    unconfirmed_until: Instant,
    /// Set when it is out of use; it is forgotten some time after.
    idle_since: Option<Instant>,
}

/// What an entry knows of all upstreams, from several control VMs.
#[derive(Debug)]
pub struct UpstreamView {
    settings: ViewSettings,
    upstreams: IndexMap<UpstreamId, Known>,
    sources: IndexSet<SocketAddr>,
    /// Since when some control VM was in reach without a break.
    connected_since: Option<Instant>,
    /// Counts what could change a standing, apart from time.
    generation: u64,
}

impl UpstreamView {
    /// Starts without knowledge.
    pub fn new(settings: ViewSettings) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
            sources: IndexSet::new(),
            connected_since: None,
            generation: 0,
        }
    }

    /// Notes that a control VM is in reach and about to tell all it knows.
    pub fn source_connected(&mut self, now: Instant, source: SocketAddr) {
        self.source_disconnected(now, source);
        self.sources.insert(source);
        self.connected_since.get_or_insert(now);
    }

    /// Notes that a control VM is out of reach.
    pub fn source_disconnected(&mut self, now: Instant, source: SocketAddr) {
        self.generation += 1;
        self.sources.swap_remove(&source);
        if self.sources.is_empty() {
            self.connected_since = None;
        }
        let unconfirmed_until = now + self.settings.unconfirmed_timeout;
        for known in self.upstreams.values_mut() {
            let was_confirmed = known.is_told_silent() == Some(false);
            known.heard.swap_remove(&source);
            if was_confirmed {
                known.unconfirmed_until = unconfirmed_until;
            }
        }
    }

    /// Tells whether all upstreams have had the time to be told: those that the
    /// view lacks don't report.
    pub fn is_complete(&self, now: Instant) -> bool {
        let complete_after = self.settings.complete_after;
        self.connected_since
            .is_some_and(|since| now >= since + complete_after)
    }

    /// Returns how many control VMs are in reach.
    pub fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Takes what a control VM tells.
    pub fn apply(&mut self, now: Instant, source: SocketAddr, records: Vec<Record>) {
        self.generation += 1;
        for record in records {
            self.apply_one(now, source, record);
        }
    }

    fn apply_one(&mut self, now: Instant, source: SocketAddr, record: Record) {
        let Record { report, is_silent } = record;
        if report.is_departure() {
            self.depart(&report);
            return;
        }
        let version = report.version;
        let warm_at = now + report.warmup_remaining;
        let id = report.id.clone();
        let known = self.upstreams.entry(id).or_insert_with(|| Known {
            report: report.clone(),
            warm_at,
            heard: IndexMap::new(),
            unconfirmed_until: now,
            idle_since: None,
        });
        if version > known.report.version {
            known.report = report;
            known.warm_at = warm_at;
        }
        known.heard.insert(source, Heard { version, is_silent });
    }

    /// Closes an upstream that told its end to a control VM that knew nothing
    /// else of it.
    fn depart(&mut self, report: &Report) {
        let Some(known) = self.upstreams.get_mut(&report.id) else {
            return;
        };
        let version = known.report.version;
        if report.version.started_ms == 0 || report.version.started_ms == version.started_ms {
            known.report.state = UpstreamState::Gone;
            known.report.version.sequence = u64::MAX;
        }
    }

    /// Returns a number that grows whenever the view may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns all upstreams with their standing; forgets those long gone.
    pub fn upstreams(&mut self, now: Instant) -> Vec<Upstream> {
        let newest = self.newest_at_addresses();
        let forget_after = self.settings.forget_after;
        let mut upstreams = Vec::with_capacity(self.upstreams.len());
        self.upstreams.retain(|id, known| {
            let superseded = newest[&known.report.address].1 != *id;
            let availability = known.availability(now, superseded);
            if availability == Availability::Ready {
                known.idle_since = None;
            } else if now >= *known.idle_since.get_or_insert(now) + forget_after {
                return false;
            }
            upstreams.push(Upstream {
                report: known.report.clone(),
                warm_at: known.warm_at,
                availability,
            });
            true
        });
        upstreams
    }

    /// Returns the incarnation that was started last at each address: addresses
    /// are used again, and a late report may tell of an earlier holder.
    fn newest_at_addresses(&self) -> IndexMap<SocketAddrV4, (u64, UpstreamId)> {
        let mut newest: IndexMap<SocketAddrV4, (u64, UpstreamId)> = IndexMap::new();
        for (id, known) in &self.upstreams {
            let started_ms = known.report.version.started_ms;
            let holder = newest
                .entry(known.report.address)
                .or_insert_with(|| (started_ms, id.clone()));
            if (started_ms, id) > (holder.0, &holder.1) {
                *holder = (started_ms, id.clone());
            }
        }
        newest
    }
}

impl Known {
    /// Tells whether the upstream is silent by the word of a control VM in reach
    /// that has its newest report; others can't tell, as it may have turned away
    /// from them.
    fn is_told_silent(&self) -> Option<bool> {
        let newest = self
            .heard
            .values()
            .max_by_key(|h| (h.version, !h.is_silent));
        newest
            .filter(|h| h.version >= self.report.version)
            .map(|h| h.is_silent)
    }

    fn availability(&self, now: Instant, superseded: bool) -> Availability {
        if self.report.state != UpstreamState::Ready || superseded {
            return Availability::Closed;
        }
        match self.is_told_silent() {
            Some(false) => Availability::Ready,
            None if now < self.unconfirmed_until => Availability::Ready,
            _ => Availability::Silent,
        }
    }
}
