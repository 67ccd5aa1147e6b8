//! Routes from addresses to services.

use std::net::SocketAddrV4;
use std::time::Duration;

use currantgate_placement::Priority;
use indexmap::{IndexMap, IndexSet};

use crate::ServiceWarmup;

/// Services and request settings for one address and port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Services that share new flows, with their weights.
    pub services: Vec<(Box<str>, u32)>,
    /// Time after which a caller gives up.
    pub timeout: Duration,
    /// Time within which an answer is of full value to the caller.
    pub latency_target: Duration,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Whether requests are idempotent.
    pub is_idempotent: bool,
}

/// All routes of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    routes: IndexMap<SocketAddrV4, Route>,
    /// The services of the revision, also those without a route.
    services: IndexSet<Box<str>>,
    warmups: IndexMap<Box<str>, ServiceWarmup>,
}

impl RouteTable {
    /// Returns a table of the given routes, with the services that they name.
    pub fn new(routes: impl IntoIterator<Item = (SocketAddrV4, Route)>) -> Self {
        let routes: IndexMap<_, Route> = routes.into_iter().collect();
        let services = routes.values().flat_map(|route| &route.services);
        let services = services.map(|(service, _)| service.clone()).collect();
        Self {
            routes,
            services,
            warmups: IndexMap::new(),
        }
    }

    /// Adds services that may have no route.
    pub fn with_services(mut self, services: impl IntoIterator<Item = Box<str>>) -> Self {
        self.services.extend(services);
        self
    }

    /// Sets the warm-up of services whose upstreams get few new flows while they are cold.
    pub fn with_warmups(
        mut self,
        warmups: impl IntoIterator<Item = (Box<str>, ServiceWarmup)>,
    ) -> Self {
        self.warmups = warmups.into_iter().collect();
        self
    }

    /// Returns the warm-up of a service, if the new flows of its cold upstreams are limited.
    pub fn warmup(&self, service: &str) -> Option<&ServiceWarmup> {
        self.warmups.get(service)
    }

    /// Returns the services of the revision.
    pub fn services(&self) -> impl Iterator<Item = &Box<str>> {
        self.services.iter()
    }

    /// Returns the route of an address and port.
    pub fn get(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.routes.get(address)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl Route {
    /// Returns the priority of the route's requests under overload.
    pub fn request_priority(&self) -> Priority {
        Priority {
            is_idempotent: self.is_idempotent,
            level: self.priority,
        }
    }

    /// Returns the index of the service for a flow with the given hash, in proportion to
    /// the weights and the same on all entries; nothing when the weights add up to 0.
    pub fn select_service(&self, hash: u64) -> Option<usize> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut remainder = hash.checked_rem(total)?;
        for (index, (_, weight)) in self.services.iter().enumerate() {
            let weight = u64::from(*weight);
            if remainder < weight {
                return Some(index);
            }
            remainder -= weight;
        }
        None
    }
}
