//! Changes to the set of upstreams.

use std::time::Instant;

use currantgate_config::{ServiceId, UpstreamId};
use indexmap::IndexSet;

use super::Dispatcher;
use crate::UpstreamView;
use crate::attempt::{AttemptStage, Failure};
use crate::service::Service;
use crate::upstream::Upstream;

impl Dispatcher {
    /// Replaces the list of upstreams that may get new attempts of a service.
    pub(super) fn set_upstreams(
        &mut self,
        now: Instant,
        service: ServiceId,
        views: &[UpstreamView],
    ) {
        for view in views {
            self.add_upstream(now, service, view);
        }
        let settings = &self.settings;
        let state = self
            .services
            .entry(service)
            .or_insert_with(|| Service::new(now, settings));
        let own = |id: &UpstreamId| self.upstreams[id].service == service;
        let listed: IndexSet<_> = views.iter().map(|view| view.id).filter(own).collect();
        let before = std::mem::replace(&mut state.upstreams, listed.clone());
        for id in before.difference(&listed) {
            self.drain_upstream(now, *id);
        }
        self.dispatch_queued(now, service);
    }

    fn add_upstream(&mut self, now: Instant, service: ServiceId, view: &UpstreamView) {
        let settings = &self.settings;
        let upstream = self
            .upstreams
            .entry(view.id)
            .or_insert_with(|| Upstream::new(service, view, now, settings));
        upstream.draining = false;
        upstream.limit.set_slots(view.slots);
    }

    /// Sends an upstream no new attempts; those that were sent continue.
    fn drain_upstream(&mut self, now: Instant, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.draining = true;
        let connection = upstream.connection.id();
        let attempts: Vec<_> = upstream.attempts.iter().copied().collect();
        for attempt in attempts {
            if self.attempts[&attempt].stage == AttemptStage::Connecting {
                self.finish_failed(now, attempt, Failure::NotProcessed);
            }
        }
        if let Some(connection) = connection {
            self.close_if_unused(id, connection);
        }
        self.remove_if_drained(id);
    }

    /// Removes a draining upstream without attempts.
    pub(super) fn remove_if_drained(&mut self, id: UpstreamId) {
        let is_drained = |upstream: &Upstream| upstream.draining && upstream.attempts.is_empty();
        if self.upstreams.get(&id).is_some_and(is_drained) {
            self.upstreams.swap_remove(&id);
        }
    }
}
