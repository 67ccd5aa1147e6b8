//! The state machines of a relay, connected to each other without any I/O.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use currantgate_config::{RelaySettings, Service, ServiceId, Site, UpstreamId};
use currantgate_membership::{
    Budget, Members, MembersSettings, Output as MembersOutput, Presence, UpstreamState,
};
use currantgate_request::{Dispatcher, Input, Output, Settings, UpstreamView};
use indexmap::IndexMap;

use crate::entry::announcement_server::{AnnounceAction, AnnounceRequest};

/// The state machines of a relay: the membership of upstreams and the dispatch of requests.
pub(crate) struct Core {
    dispatcher: Dispatcher,
    members: Members,
    budget: Budget,
    services: Vec<ServiceId>,
    /// Service and address of each upstream that accepts new requests.
    addresses: IndexMap<UpstreamId, (ServiceId, SocketAddr)>,
}

impl Core {
    pub(crate) fn new(settings: &RelaySettings, site: &Site, now: Instant) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since_epoch.map_or(0, |d| d.as_millis() as u64);
        let members = MembersSettings {
            incarnation,
            domain: settings.domain.clone(),
            services: members_services(site),
            ..MembersSettings::default()
        };
        let dispatch = &settings.dispatch;
        let dispatcher = Settings {
            max_queued: dispatch.max_queued,
            retry_share: dispatch.retry_share,
            ping_after: Duration::from_millis(dispatch.ping_after_ms),
            ping_timeout: Duration::from_millis(dispatch.ping_timeout_ms),
            seed: incarnation,
            ..Settings::default()
        };
        Self {
            dispatcher: Dispatcher::new(dispatcher),
            members: Members::new(members, now),
            budget: Budget::new(&currantgate_config::ControlTrafficBudget::default(), now),
            services: site.services.iter().map(Service::id).collect(),
            addresses: IndexMap::new(),
        }
    }

    /// Applies a new revision of the site file.
    ///
    /// Of a service that was removed, requests already sent to upstreams continue, and
    /// queued ones are rejected as not run.
    pub(crate) fn set_site(&mut self, now: Instant, site: &Site) {
        self.members.set_services(members_services(site));
        let services: Vec<_> = site.services.iter().map(Service::id).collect();
        let previous = std::mem::replace(&mut self.services, services);
        for service in previous {
            if !self.services.contains(&service) {
                let upstreams = Vec::new();
                let input = Input::Upstreams { service, upstreams };
                self.dispatcher.handle(now, input);
            }
        }
        self.flush_members(now);
        self.update_upstreams(now);
    }

    /// Passes an input to the dispatcher.
    pub(crate) fn handle(&mut self, now: Instant, input: Input) {
        self.dispatcher.handle(now, input);
    }

    /// Handles an announcement or withdrawal and sends the result to its HTTP handler.
    pub(crate) fn handle_announce_request(&mut self, now: Instant, request: AnnounceRequest) {
        let (service, name) = (request.service, request.name);
        // A reply fails if the upstream has closed the connection; it then retries.
        match request.action {
            AnnounceAction::Announce {
                announcement,
                reply,
            } => {
                let result = self.members.announce(now, &service, &name, announcement);
                if let Err(e) = &result {
                    log::warn!("rejected announcement of {service}/{name}: {e}");
                }
                let _ = reply.send(result);
            }
            AnnounceAction::Withdraw { incarnation, reply } => {
                let result = self.members.withdraw(now, &service, &name, incarnation);
                let _ = reply.send(result);
            }
        }
        self.flush_members(now);
    }

    /// Runs the timers that are due at `now`.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.members.tick(now);
        self.flush_members(now);
        self.dispatcher.tick(now);
    }

    /// Returns the instant at which to call [`Core::tick`] next.
    pub(crate) fn next_deadline(&self) -> Instant {
        let members = self.members.next_deadline();
        let dispatcher = self.dispatcher.next_deadline();
        dispatcher.map_or(members, |next| next.min(members))
    }

    /// Returns the dispatcher's next output, if any.
    pub(crate) fn poll_output(&mut self) -> Option<Output> {
        self.dispatcher.poll_output()
    }

    /// Returns the number of requests that are not settled yet.
    pub(crate) fn pending_requests(&self) -> usize {
        self.dispatcher.pending_requests()
    }

    /// Returns the address of an upstream that accepts new requests.
    pub(crate) fn address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        self.addresses.get(&upstream).map(|(_, address)| *address)
    }

    /// Returns the upstreams of a service that accept new requests.
    pub(crate) fn upstreams(&self, service: ServiceId) -> Vec<(UpstreamId, SocketAddr)> {
        let of_service = self.addresses.iter().filter(|(_, (s, _))| *s == service);
        of_service
            .map(|(id, (_, address))| (*id, *address))
            .collect()
    }

    /// Carries out the outputs of the membership.
    fn flush_members(&mut self, now: Instant) {
        let mut changed = false;
        while let Some(output) = self.members.poll_output(now, &mut self.budget) {
            changed |= output == MembersOutput::UpstreamsChanged;
        }
        if changed {
            self.update_upstreams(now);
        }
    }

    /// Passes the upstreams that accept new requests to the dispatcher.
    fn update_upstreams(&mut self, now: Instant) {
        let mut views: IndexMap<ServiceId, Vec<UpstreamView>> =
            self.services.iter().map(|id| (*id, Vec::new())).collect();
        self.addresses.clear();
        for (upstream, presence) in self.members.upstreams() {
            if presence != Presence::Leased || upstream.state == UpstreamState::Draining {
                continue;
            }
            let id = upstream.id();
            self.addresses
                .insert(id, (upstream.service, upstream.address));
            views
                .entry(upstream.service)
                .or_default()
                .push(UpstreamView {
                    id,
                    slots: upstream.slots,
                    warming: upstream.state == UpstreamState::Warming,
                });
        }
        for (service, upstreams) in views {
            let input = Input::Upstreams { service, upstreams };
            self.dispatcher.handle(now, input);
        }
    }
}

/// Returns the site's services, each with its failure domains.
fn members_services(site: &Site) -> Vec<Service> {
    let services = site.services.iter();
    services.map(|s| with_domains(s, site)).collect()
}

/// Returns a service with its failure domains: all of the site's if it lists none.
fn with_domains(service: &Service, site: &Site) -> Service {
    let mut service = service.clone();
    if service.domains.is_empty() {
        service.domains.clone_from(&site.domains);
    }
    service
}
