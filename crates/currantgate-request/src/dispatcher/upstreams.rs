//! Upstreams that come and go.

use std::time::Instant;

use currantgate_config::{ServiceId, UpstreamId};
use indexmap::IndexSet;

use super::Dispatcher;
use crate::UpstreamView;
use crate::attempt::{AttemptStage, Failure};
use crate::service::Service;
use crate::upstream::Upstream;

impl Dispatcher {
    /// Takes the whole list of upstreams that may take new work of a service.
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
            self.leave_upstream(now, *id);
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

    /// Gives an upstream no new work; what it has been sent goes on.
    fn leave_upstream(&mut self, now: Instant, id: UpstreamId) {
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
        self.remove_if_left(id);
    }

    /// Forgets an upstream that gets no new work and has none left.
    pub(super) fn remove_if_left(&mut self, id: UpstreamId) {
        let left = |upstream: &Upstream| upstream.draining && upstream.attempts.is_empty();
        if self.upstreams.get(&id).is_some_and(left) {
            self.upstreams.swap_remove(&id);
        }
    }
}
