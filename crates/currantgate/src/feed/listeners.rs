//! Who holds a feed of a control VM.

use currantgate_control::Revision;
use currantgate_registry::{ChangeNumber, Record, UpstreamRegistry, UpstreamState};
use indexmap::IndexMap;
use tokio::time::Instant;

use super::message::FeedHello;
use super::status::{FleetStatus, ListenerStatus, ServiceStatus};

/// Names one feed of a control VM.
pub(super) type FeedNumber = u64;

struct Listener {
    hello: FeedHello,
    revision: Revision,
    heard: Instant,
    told_change: ChangeNumber,
}

/// Who holds a feed, with what was last heard and told there.
#[derive(Default)]
pub(super) struct Listeners {
    feeds: IndexMap<FeedNumber, Listener>,
    last: FeedNumber,
}

impl Listeners {
    pub(super) fn add(&mut self, now: Instant, hello: FeedHello) -> FeedNumber {
        self.last += 1;
        let listener = Listener {
            hello,
            revision: 0,
            heard: now,
            told_change: 0,
        };
        self.feeds.insert(self.last, listener);
        self.last
    }

    pub(super) fn remove(&mut self, feed: FeedNumber) {
        self.feeds.swap_remove(&feed);
    }

    pub(super) fn heard(&mut self, now: Instant, feed: FeedNumber, revision: Revision) {
        if let Some(listener) = self.feeds.get_mut(&feed) {
            listener.heard = now;
            listener.revision = revision;
        }
    }

    pub(super) fn told(&mut self, feed: FeedNumber, change: ChangeNumber) {
        if let Some(listener) = self.feeds.get_mut(&feed) {
            listener.told_change = change;
        }
    }

    /// Returns what operators see of them, and of the upstreams.
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
            services: count(registry.iter()),
        }
    }
}

impl Listener {
    fn status(&self, now: Instant, newest: ChangeNumber) -> ListenerStatus {
        let silence = now.saturating_duration_since(self.heard);
        // Other control VMs hear upstreams themselves, and are not told.
        let is_control = self.hello.control.is_some();
        let behind = newest.saturating_sub(self.told_change);
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

fn count<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<ServiceStatus> {
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
