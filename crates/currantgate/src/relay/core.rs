//! The relay's state machines side by side.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use currantgate_config::{RelaySettings, Service, ServiceId, Site, UpstreamId};
use currantgate_membership::{
    Budget, Members, MembersSettings, Output as MembersOutput, Presence, UpstreamState,
};
use currantgate_request::{Dispatcher, Input, Output, Settings, UpstreamView};
use indexmap::IndexMap;

use crate::entry::announce::{AnnounceAction, AnnounceRequest};

/// The relay's state machines: who is there, and what is done with requests.
pub(crate) struct Core {
    dispatcher: Dispatcher,
    members: Members,
    budget: Budget,
    services: Vec<ServiceId>,
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

    /// Puts a new revision of the site file in force, as a whole.
    ///
    /// What a service that is left out has sent to upstreams goes on; what
    /// still waits there is rejected as not run.
    pub(crate) fn set_site(&mut self, now: Instant, site: &Site) {
        self.members.set_services(members_services(site));
        let services: Vec<_> = site.services.iter().map(Service::id).collect();
        let before = std::mem::replace(&mut self.services, services);
        for service in before {
            if !self.services.contains(&service) {
                let upstreams = Vec::new();
                let input = Input::Upstreams { service, upstreams };
                self.dispatcher.handle(now, input);
            }
        }
        self.take_members_outputs(now);
        self.take_upstreams(now);
    }

    /// Hands an input to the dispatcher.
    pub(crate) fn handle(&mut self, now: Instant, input: Input) {
        self.dispatcher.handle(now, input);
    }

    /// Takes what an upstream asks for and answers it.
    pub(crate) fn announce(&mut self, now: Instant, request: AnnounceRequest) {
        let (service, name) = (request.service, request.name);
        // The upstream may have hung up meanwhile; it will ask again.
        match request.action {
            AnnounceAction::Announce {
                announcement,
                reply,
            } => {
                let result = self.members.announce(now, &service, &name, announcement);
                if let Err(e) = &result {
                    log::warn!("announcement of {service}/{name} rejected: {e}");
                }
                let _ = reply.send(result);
            }
            AnnounceAction::Withdraw { incarnation, reply } => {
                let result = self.members.withdraw(now, &service, &name, incarnation);
                let _ = reply.send(result);
            }
        }
        self.take_members_outputs(now);
    }

    /// Does what is due at `now`.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.members.tick(now);
        self.take_members_outputs(now);
        self.dispatcher.tick(now);
    }

    /// Returns the instant at which [`Core::tick`] is next wanted.
    pub(crate) fn next_deadline(&self) -> Instant {
        let members = self.members.next_deadline();
        let dispatcher = self.dispatcher.next_deadline();
        dispatcher.map_or(members, |next| next.min(members))
    }

    /// Returns the next thing to do.
    pub(crate) fn poll_output(&mut self) -> Option<Output> {
        self.dispatcher.poll_output()
    }

    /// Returns the number of requests that are not yet settled.
    pub(crate) fn unsettled(&self) -> usize {
        self.dispatcher.pending_requests()
    }

    /// Returns the address of an upstream that takes new work.
    pub(crate) fn address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        self.addresses.get(&upstream).map(|(_, address)| *address)
    }

    /// Returns the upstreams of a service that take new work.
    pub(crate) fn upstreams(&self, service: ServiceId) -> Vec<(UpstreamId, SocketAddr)> {
        let of_service = self.addresses.iter().filter(|(_, (s, _))| *s == service);
        of_service
            .map(|(id, (_, address))| (*id, *address))
            .collect()
    }

    fn take_members_outputs(&mut self, now: Instant) {
        let mut changed = false;
        while let Some(output) = self.members.poll_output(now, &mut self.budget) {
            changed |= output == MembersOutput::UpstreamsChanged;
        }
        if changed {
            self.take_upstreams(now);
        }
    }

    /// Tells the dispatcher which upstreams take new work now.
    fn take_upstreams(&mut self, now: Instant) {
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

fn members_services(site: &Site) -> Vec<Service> {
    let services = site.services.iter();
    services.map(|s| with_domains(s, site)).collect()
}

/// Spells out that a service without domains is served by all of the site's.
fn with_domains(service: &Service, site: &Site) -> Service {
    let mut service = service.clone();
    if service.domains.is_empty() {
        service.domains.clone_from(&site.domains);
    }
    service
}
