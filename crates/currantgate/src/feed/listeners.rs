//! The listeners of a control VM, which receive its feeds.

use currantgate_control::Revision;
use currantgate_registry::{ChangeNumber, Record, UpstreamRegistry, UpstreamState};
use indexmap::IndexMap;
use tokio::time::Instant;

use super::evacuated_flows::{EntryFlows, EvacuatedFlows};
use super::message::FeedHello;
use super::status::{
    EvacuationListener, FleetStatus, ListenerStatus, ServiceStatus, UpstreamSlots,
};

/// Id of one feed of a control VM.
pub(super) type FeedId = u64;

/// A process that receives a feed.
struct Listener {
    hello: FeedHello,
    revision: Revision,
    last_message: Instant,
    sent_change: ChangeNumber,
    /// Revision of the evacuations that it has confirmed.
    evacuations: u64,
    /// Open flows in evacuated domains that it has reported last.
    evacuated_flows: Option<EvacuatedFlows>,
}

/// The processes that receive a feed, with their last message and what they have
/// been sent.
#[derive(Default)]
pub(super) struct Listeners {
    feeds: IndexMap<FeedId, Listener>,
    /// Number of entries with a feed by failure domain.
    entries_by_domain: IndexMap<Box<str>, usize>,
    last_id: FeedId,
}

impl Listeners {
    pub(super) fn add(&mut self, now: Instant, hello: FeedHello) -> FeedId {
        self.last_id += 1;
        if hello.control.is_none() {
            let domain = hello.domain.clone();
            *self.entries_by_domain.entry(domain).or_default() += 1;
        }
        let listener = Listener {
            hello,
            revision: 0,
            last_message: now,
            sent_change: 0,
            evacuations: 0,
            evacuated_flows: None,
        };
        self.feeds.insert(self.last_id, listener);
        self.last_id
    }

    pub(super) fn remove(&mut self, id: FeedId) {
        let Some(Listener { hello, .. }) = self.feeds.swap_remove(&id) else {
            return;
        };
        if hello.control.is_none()
            && let Some(entries) = self.entries_by_domain.get_mut(&hello.domain)
        {
            *entries -= 1;
            if *entries == 0 {
                self.entries_by_domain.swap_remove(&hello.domain);
            }
        }
    }

    /// Returns the number of entries with a feed by failure domain.
    pub(super) fn entries_by_domain(&self) -> &IndexMap<Box<str>, usize> {
        &self.entries_by_domain
    }

    pub(super) fn record_message(&mut self, now: Instant, id: FeedId, revision: Revision) {
        if let Some(listener) = self.feeds.get_mut(&id) {
            listener.last_message = now;
            listener.revision = revision;
        }
    }

    pub(super) fn record_sent(&mut self, id: FeedId, change: ChangeNumber) {
        if let Some(listener) = self.feeds.get_mut(&id) {
            listener.sent_change = change;
        }
    }

    pub(super) fn record_evacuations(&mut self, id: FeedId, revision: u64) {
        if let Some(listener) = self.feeds.get_mut(&id) {
            listener.evacuations = revision;
        }
    }

    pub(super) fn record_evacuated_flows(&mut self, id: FeedId, flows: EvacuatedFlows) {
        if let Some(listener) = self.feeds.get_mut(&id) {
            listener.evacuated_flows = Some(flows);
        }
    }

    /// Returns the entries with what they have reported of their flows in evacuated domains.
    /// An entry whose lost feed has not timed out yet is listed once for each feed.
    pub(super) fn evacuated_flows(&self) -> Vec<EntryFlows> {
        let entries = self.feeds.values().filter(|l| l.hello.control.is_none());
        let entries = entries.map(|listener| EntryFlows {
            name: listener.hello.name.clone(),
            report: listener.evacuated_flows.clone(),
        });
        entries.collect()
    }

    /// Returns what each listener holds of the evacuations.
    pub(super) fn evacuations(&self) -> Vec<EvacuationListener> {
        let listeners = self.feeds.values().map(|listener| EvacuationListener {
            name: listener.hello.name.clone(),
            is_control: listener.hello.control.is_some(),
            revision: listener.evacuations,
        });
        let mut listeners: Vec<_> = listeners.collect();
        listeners.sort_by(|a, b| a.name.cmp(&b.name));
        listeners
    }

    /// Returns the status of the listeners and of the upstreams for operators.
    pub(super) fn status(&self, now: Instant, registry: &UpstreamRegistry) -> FleetStatus {
        let newest = registry.last_change();
        let mut listeners: Vec<_> = self
            .feeds
            .values()
            .map(|listener| listener.status(now, newest))
            .collect();
        listeners.sort_by(|a, b| a.name.cmp(&b.name));
        FleetStatus {
            listeners,
            services: count_by_service(registry.iter()),
        }
    }
}

impl Listener {
    fn status(&self, now: Instant, newest: ChangeNumber) -> ListenerStatus {
        let silence = now.saturating_duration_since(self.last_message);
        // Other control VMs receive reports themselves, and are sent no upstreams.
        let is_control = self.hello.control.is_some();
        let behind = newest.saturating_sub(self.sent_change);
        ListenerStatus {
            name: self.hello.name.clone(),
            domain: self.hello.domain.clone(),
            is_control,
            revision: self.revision,
            heard_ms_ago: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
            upstream_changes_behind: if is_control { 0 } else { behind },
        }
    }
}

/// Counts the upstreams of each service by state.
fn count_by_service<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<ServiceStatus> {
    let mut services: IndexMap<Box<str>, ServiceStatus> = IndexMap::new();
    for Record { report, is_silent } in records {
        let name = &report.service;
        let service = services
            .entry(name.clone())
            .or_insert_with(|| ServiceStatus {
                name: name.clone(),
                ..ServiceStatus::default()
            });
        match (report.state, is_silent) {
            (UpstreamState::Gone, _) => {}
            (_, true) => service.silent += 1,
            (UpstreamState::Ready, false) => service.ready += 1,
            (UpstreamState::Draining, false) => service.draining += 1,
        }
    }
    services.sort_unstable_keys();
    services.into_values().collect()
}

/// Returns the slots for new flows of each upstream that reports.
pub(super) fn list_slots<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<UpstreamSlots> {
    let reporting = records.filter(|record| !record.is_silent);
    let slots = reporting.map(|Record { report, .. }| UpstreamSlots {
        id: report.id.clone(),
        version: report.version,
        service: report.service.clone(),
        domain: report.domain.clone(),
        slots: match report.state {
            UpstreamState::Ready => report.slots,
            _ => 0,
        },
    });
    slots.collect()
}
