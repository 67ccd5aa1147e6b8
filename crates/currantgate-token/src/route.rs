//! Which service serves which address.

use std::net::SocketAddrV4;
use std::time::Duration;

use currantgate_placement::Priority;
use indexmap::IndexMap;

/// What is in force for one address and port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The services that share new flows, with their weights.
    pub services: Vec<(Box<str>, u32)>,
    /// How long a caller waits for an answer.
    pub timeout: Duration,
    /// Within which time an answer is of full worth.
    pub latency_target: Duration,
    /// Which requests go first when not all can be served; 0 is the highest.
    pub priority: u32,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
}

/// All routes of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: IndexMap<SocketAddrV4, Route>,
}

impl RouteTable {
    /// Returns the table of the given routes.
    pub fn new(routes: impl IntoIterator<Item = (SocketAddrV4, Route)>) -> Self {
        Self {
            routes: routes.into_iter().collect(),
        }
    }

    /// Returns the route of an address and port.
    pub fn get(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.routes.get(address)
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl Route {
    /// Returns how its requests compare with others when not all can be served.
    pub fn request_priority(&self) -> Priority {
        Priority {
            is_idempotent: self.is_idempotent,
            level: self.priority,
        }
    }

    /// Returns the service that takes a flow with the given hash, in
    /// proportion to the weights; alike on all entries.
    pub fn select_service(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut rest = hash.checked_rem(total)?;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
        }
        None
    }
}
