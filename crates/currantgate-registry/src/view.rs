//! View that an entry builds of all upstreams from the records of several control VMs.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};

use crate::{
    NamedServices, Record, Report, ReportVersion, UpstreamId, UpstreamState, ViewSettings,
};

/// Whether an upstream may get new flows, according to its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The upstream is ready, and its reports arrive at a connected control VM.
    Ready,
    /// Its reports arrive at no connected control VM: it may have crashed or be
    /// unreachable.
    Silent,
    /// The upstream drains, has left, or its address is in use by a later one.
    Closed,
}

/// An upstream in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The newest report.
    pub report: Report,
    /// Time at which the upstream is warm and reaches its full speed.
    pub warm_at: Instant,
    /// Whether it may get new flows.
    pub availability: Availability,
    /// Whether the configuration in force names its service.
    pub is_named: bool,
}

/// State of an upstream at one control VM.
#[derive(Debug)]
struct SourceState {
    version: ReportVersion,
    is_silent: bool,
}

/// An upstream of one service in the view, with its state at each control VM.
#[derive(Debug)]
struct KnownUpstream {
    report: Report,
    warm_at: Instant,
    /// Last state from each connected control VM.
    source_states: IndexMap<SocketAddr, SourceState>,
    /// Time until which it counts as ready although no connected control VM has its newest
    /// report.
    unconfirmed_until: Instant,
    /// Time since which it is not ready; it is removed `forget_after` later.
    idle_since: Option<Instant>,
}

/// View of all upstreams, merged from the records of several control VMs.
#[derive(Debug)]
pub struct UpstreamView {
    settings: ViewSettings,
    services: NamedServices,
    /// Upstreams by id, one for each service that reports of the id name. Which one counts
    /// depends on the configuration in force, which control VMs may have before this entry.
    upstreams: IndexMap<UpstreamId, Vec<KnownUpstream>>,
    /// Control VMs that are connected.
    sources: IndexSet<SocketAddr>,
    /// Time since which at least one control VM has been connected without interruption.
    connected_since: Option<Instant>,
    /// Number of events that could change the availability of an upstream, time aside.
    generation: u64,
}

impl UpstreamView {
    /// Returns an empty view.
    pub fn new(settings: ViewSettings) -> Self {
        Self {
            settings,
            services: NamedServices::default(),
            upstreams: IndexMap::new(),
            sources: IndexSet::new(),
            connected_since: None,
            generation: 0,
        }
    }

    /// Sets the services that the configuration in force names.
    pub fn set_services(&mut self, services: NamedServices) {
        self.generation += 1;
        self.services = services;
    }

    /// Records that a control VM is connected and about to send all its records. Its
    /// earlier state is discarded.
    pub fn source_connected(&mut self, now: Instant, source: SocketAddr) {
        self.source_disconnected(now, source);
        if self.sources.is_empty() {
            // They were kept without any control VM, and get the time to report again.
            for known in self.upstreams.values_mut().flatten() {
                known.idle_since = None;
            }
        }
        self.sources.insert(source);
        self.connected_since.get_or_insert(now);
    }

    /// Records that the connection to a control VM is lost.
    pub fn source_disconnected(&mut self, now: Instant, source: SocketAddr) {
        self.generation += 1;
        self.sources.swap_remove(&source);
        if self.sources.is_empty() {
            self.connected_since = None;
        }
        let unconfirmed_until = now + self.settings.unconfirmed_timeout;
        for known in self.upstreams.values_mut().flatten() {
            let was_reporting = known.is_reported_silent() == Some(false);
            known.source_states.swap_remove(&source);
            if was_reporting {
                known.unconfirmed_until = unconfirmed_until;
            }
        }
    }

    /// Tells whether the view has had the time to become complete, so that upstreams that
    /// it lacks do not report.
    pub fn is_complete(&self, now: Instant) -> bool {
        let complete_after = self.settings.complete_after;
        self.connected_since
            .is_some_and(|since| now >= since + complete_after)
    }

    /// Returns the number of connected control VMs.
    pub fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Applies records from a control VM. Returns the upstreams that were known and are
    /// cold by now, or for longer than before, with the end of their warm-ups.
    pub fn apply(
        &mut self,
        now: Instant,
        source: SocketAddr,
        records: Vec<Record>,
    ) -> Vec<(UpstreamId, Instant)> {
        self.generation += 1;
        let extended = records
            .into_iter()
            .filter_map(|record| self.apply_record(now, source, record));
        extended.collect()
    }

    /// Applies one record: a newer report replaces the known one. Returns the upstream if
    /// its warm-up ends later than before.
    fn apply_record(
        &mut self,
        now: Instant,
        source: SocketAddr,
        record: Record,
    ) -> Option<(UpstreamId, Instant)> {
        let Record {
            mut report,
            is_silent,
        } = record;
        report.limit_warmup();
        if report.is_departure() {
            self.apply_departure(&report);
            return None;
        }
        let version = report.version;
        let warm_at = now + report.warmup_remaining;
        let id = report.id.clone();
        let is_named = self.services.contains(&report.service);
        let same_id = self.upstreams.entry(id.clone()).or_default();
        let position = same_id
            .iter()
            .position(|known| known.report.service == report.service);
        let position = position.unwrap_or_else(|| {
            same_id.push(KnownUpstream {
                report: report.clone(),
                warm_at,
                source_states: IndexMap::new(),
                unconfirmed_until: now,
                idle_since: None,
            });
            same_id.len() - 1
        });
        let known = &mut same_id[position];
        let mut is_extended = false;
        if version > known.report.version {
            is_extended = is_named && warm_at > known.warm_at.max(now);
            known.report = report;
            known.warm_at = warm_at;
        }
        known
            .source_states
            .insert(source, SourceState { version, is_silent });
        is_extended.then_some((id, warm_at))
    }

    /// Applies a departure without a report: the upstream left by way of a control VM
    /// that had no record of it.
    fn apply_departure(&mut self, report: &Report) {
        let started_ms = report.version.started_ms;
        for known in self.upstreams.get_mut(&report.id).into_iter().flatten() {
            if started_ms == 0 || started_ms == known.report.version.started_ms {
                known.report.state = UpstreamState::Gone;
                known.report.version.sequence = u64::MAX;
            }
        }
    }

    /// Returns a number that grows whenever the view may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns all upstreams with their availability. Removes those that have not been
    /// ready for `forget_after`, unless no control VM is connected: an entry that is cut off from
    /// all of them goes on with the upstreams that it knows.
    pub fn upstreams(&mut self, now: Instant) -> Vec<Upstream> {
        let owners = self.address_owners();
        let forget_after = self.settings.forget_after;
        let is_isolated = self.sources.is_empty();
        let services = &self.services;
        let mut upstreams = Vec::with_capacity(self.upstreams.len());
        self.upstreams.retain(|id, same_id| {
            let used = used_position(services, same_id);
            let mut positions = 0..;
            same_id.retain_mut(|known| {
                let is_used = used == positions.next();
                let superseded = !is_used || owners[&known.report.address].id != *id;
                let availability = known.availability(now, superseded);
                if availability == Availability::Ready {
                    known.idle_since = None;
                } else if now >= *known.idle_since.get_or_insert(now) + forget_after && !is_isolated
                {
                    return false;
                }
                if is_used {
                    upstreams.push(Upstream {
                        report: known.report.clone(),
                        warm_at: known.warm_at,
                        availability,
                        is_named: services.contains(&known.report.service),
                    });
                }
                true
            });
            !same_id.is_empty()
        });
        upstreams
    }

    /// Returns the upstream that was started last at each address. Addresses are reused,
    /// and a late report may contain that of an earlier owner. An upstream of a service that
    /// is not named owns an address only if no other one reports it.
    fn address_owners(&self) -> IndexMap<SocketAddrV4, AddressOwner> {
        let mut owners: IndexMap<SocketAddrV4, AddressOwner> =
            IndexMap::with_capacity(self.upstreams.len());
        for (id, same_id) in &self.upstreams {
            let Some(position) = used_position(&self.services, same_id) else {
                continue;
            };
            let report = &same_id[position].report;
            let claim = AddressOwner {
                is_named: self.services.contains(&report.service),
                started_ms: report.version.started_ms,
                id: id.clone(),
            };
            match owners.entry(report.address) {
                Entry::Occupied(owner) if *owner.get() >= claim => {}
                owner => {
                    owner.insert_entry(claim);
                }
            }
        }
        owners
    }
}

/// An upstream that reports an address. Of several ones, the greatest owns the address.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AddressOwner {
    is_named: bool,
    started_ms: u64,
    id: UpstreamId,
}

/// Returns the position of the upstream that is used among those with one id: that with the
/// newest report, and one of a service that is not named only if there is no other.
fn used_position(services: &NamedServices, same_id: &[KnownUpstream]) -> Option<usize> {
    let rank = |known: &KnownUpstream| {
        let report = &known.report;
        (services.contains(&report.service), report.version)
    };
    let ranked = same_id.iter().enumerate();
    let used = ranked.max_by_key(|(_, known)| rank(known));
    used.map(|(position, _)| position)
}

impl KnownUpstream {
    /// Tells whether the upstream is silent according to the connected control VM that
    /// has its newest report; nothing when none has it. Other control VMs do not count, as
    /// the upstream may have failed over from them.
    fn is_reported_silent(&self) -> Option<bool> {
        let newest = self
            .source_states
            .values()
            .max_by_key(|state| (state.version, !state.is_silent));
        newest
            .filter(|state| state.version >= self.report.version)
            .map(|state| state.is_silent)
    }

    /// Returns whether the upstream may get new flows. `superseded` is set when a later
    /// upstream has its address.
    fn availability(&self, now: Instant, superseded: bool) -> Availability {
        if self.report.state != UpstreamState::Ready || superseded {
            return Availability::Closed;
        }
        match self.is_reported_silent() {
            Some(false) => Availability::Ready,
            None if now < self.unconfirmed_until => Availability::Ready,
            _ => Availability::Silent,
        }
    }
}
