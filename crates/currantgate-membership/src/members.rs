//! The membership state machine.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use indexmap::IndexMap;

use crate::{
    AnnounceError, Announcement, Budget, EntryStage, EntryView, Lease, MembersSettings, Message,
    Presence, Upstream,
};

/// How often an entry tells the others that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which an entry no longer counts as alive.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// What the state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another entry.
    Send {
        /// The other entry.
        to: EntryId,
        /// What it is told.
        message: Message,
    },
    /// The set of upstreams changed: see [`Members::upstreams`].
    UpstreamsChanged,
    /// The set of live entries changed: see [`Members::entries`].
    EntriesChanged,
}

#[derive(Debug)]
struct Leased {
    upstream: Upstream,
    lease: Lease,
    own: bool,
}

/// Keeps upstream leases and the set of live entries.
#[derive(Debug)]
pub struct Members {
    settings: MembersSettings,
    upstreams: IndexMap<UpstreamId, Leased>,
    heard: IndexMap<EntryId, Instant>,
    next_heartbeat: Instant,
    outputs: std::collections::VecDeque<Output>,
}

impl Members {
    /// Returns a machine that knows no one but itself.
    pub fn new(settings: MembersSettings, now: Instant) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
            heard: IndexMap::new(),
            next_heartbeat: now,
            outputs: std::collections::VecDeque::new(),
        }
    }

    /// Takes an announcement that an upstream of `service` called `name` sent.
    ///
    /// # Errors
    ///
    /// Returns why the announcement is not accepted; nothing has changed then.
    pub fn announce(
        &mut self,
        now: Instant,
        service: &str,
        name: &str,
        announcement: Announcement,
    ) -> Result<Lease, AnnounceError> {
        let found = self.settings.services.iter().find(|s| &*s.name == service);
        let service = found.ok_or_else(|| AnnounceError::UnknownService(service.into()))?;
        let lease = Lease {
            deadline: now + Duration::from_millis(service.join.lease_ms),
        };
        let upstream = Upstream {
            name: name.into(),
            incarnation: announcement.incarnation,
            service: service.id(),
            address: announcement.address,
            domain: announcement.domain,
            slots: announcement.slots,
            state: announcement.state,
        };
        self.store(upstream, lease, true);
        Ok(lease)
    }

    /// Takes a message that entry `from` sent.
    pub fn receive(&mut self, now: Instant, from: EntryId, message: Message) {
        if self.heard.insert(from, now + ENTRY_TIMEOUT).is_none() {
            self.outputs.push_back(Output::EntriesChanged);
        }
        let Message::Heartbeat { upstreams } = message;
        for upstream in upstreams {
            let Some(service) = self
                .settings
                .services
                .iter()
                .find(|s| s.id() == upstream.service)
            else {
                continue;
            };
            let deadline = now + Duration::from_millis(service.join.lease_ms);
            self.store(upstream, Lease { deadline }, false);
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        let before = self.heard.len();
        self.heard.retain(|_, deadline| *deadline > now);
        if self.heard.len() != before {
            self.outputs.push_back(Output::EntriesChanged);
        }
        let before = self.upstreams.len();
        self.upstreams
            .retain(|_, leased| leased.lease.deadline > now);
        if self.upstreams.len() != before {
            self.outputs.push_back(Output::UpstreamsChanged);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
    }

    /// Returns the instant at which [`Members::tick`] is next wanted.
    pub fn next_deadline(&self) -> Instant {
        self.next_heartbeat
    }

    /// Returns the next thing to do, or nothing while the budget is closed.
    pub fn poll_output(&mut self, now: Instant, budget: &mut Budget) -> Option<Output> {
        if matches!(self.outputs.front(), Some(Output::Send { .. })) && !budget.is_open(now) {
            return None;
        }
        self.outputs.pop_front()
    }

    /// Returns all known upstreams and how sure their presence is.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Upstream, Presence)> {
        self.upstreams
            .values()
            .map(|leased| (&leased.upstream, Presence::Leased))
    }

    /// Returns the live entries in ascending order, this one included.
    pub fn entries(&self) -> Vec<EntryView> {
        let mut ids: Vec<_> = self.heard.keys().copied().collect();
        ids.push(self.settings.id);
        ids.sort_unstable();
        let serving = |id| EntryView {
            id,
            stage: EntryStage::Serving,
        };
        ids.into_iter().map(serving).collect()
    }

    fn store(&mut self, upstream: Upstream, lease: Lease, own: bool) {
        let id = upstream.id();
        let previous = self.upstreams.insert(
            id,
            Leased {
                upstream,
                lease,
                own,
            },
        );
        let changed = previous.is_none_or(|p| p.upstream != self.upstreams[&id].upstream);
        if changed {
            self.outputs.push_back(Output::UpstreamsChanged);
        }
    }

    fn send_heartbeats(&mut self) {
        let upstreams: Vec<_> = self
            .upstreams
            .values()
            .filter(|leased| leased.own)
            .map(|leased| leased.upstream.clone())
            .collect();
        for peer in &self.settings.peers {
            self.outputs.push_back(Output::Send {
                to: peer.id,
                message: Message::Heartbeat {
                    upstreams: upstreams.clone(),
                },
            });
        }
    }
}
