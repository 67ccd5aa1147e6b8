//! The sockets of one relay.

use std::net::{SocketAddr, TcpListener};

use currantgate_config::{RelayListen, RelaySettings, RelayedService, Service, Site};
use indexmap::IndexMap;

use crate::RelayError;

/// The bound sockets of one relay, one for each service it takes.
#[derive(Debug)]
pub struct RelaySockets {
    pub(crate) services: IndexMap<Box<str>, TcpListener>,
    pub(crate) announce: TcpListener,
    pub(crate) metrics: TcpListener,
}

impl RelaySockets {
    /// Binds the sockets of all services of the site and those of `listen`.
    ///
    /// With control VMs in the settings the services are left out: a revision
    /// on disk may be newer than `site`, so the relay binds them as it goes.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that can't be bound, or a
    /// service that the site doesn't have or that is not TCP.
    pub fn bind(settings: &RelaySettings, site: &Site) -> Result<Self, RelayError> {
        let own = Self {
            services: IndexMap::new(),
            announce: bind(settings.listen.announce, "announce")?,
            metrics: bind(settings.listen.metrics, "metrics")?,
        };
        if settings.control.is_some() {
            return Ok(own);
        }
        let known = |name: &str| site.tcp_services().any(|s| *s.name == *name);
        if let Some(unknown) = settings.serves.iter().find(|s| !known(&s.service)) {
            return Err(RelayError::UnknownService(unknown.service.clone()));
        }
        let mut services = IndexMap::new();
        for service in site.tcp_services() {
            let listener = bind(address_of(&settings.serves, service), &service.name)?;
            services.insert(service.name.clone(), listener);
        }
        Ok(Self { services, ..own })
    }

    /// Returns the address that a service's requests are taken on.
    pub fn service_address(&self, name: &str) -> Option<SocketAddr> {
        self.services.get(name)?.local_addr().ok()
    }

    /// Returns the other addresses that were bound, ports included.
    ///
    /// # Errors
    ///
    /// Returns an error when the system doesn't tell a socket's address.
    pub fn addresses(&self) -> std::io::Result<RelayListen> {
        Ok(RelayListen {
            announce: self.announce.local_addr()?,
            metrics: self.metrics.local_addr()?,
        })
    }
}

/// Returns the address that the relay takes the service's requests on.
pub(super) fn address_of(serves: &[RelayedService], service: &Service) -> SocketAddr {
    let mut serves = serves.iter();
    let own = serves.find(|serve| serve.service == service.name);
    own.map_or(service.address, |serve| serve.address)
}

/// Binds a listener that the runtime can use.
pub(super) fn bind(address: SocketAddr, purpose: &str) -> Result<TcpListener, RelayError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    bind().map_err(|source| RelayError::Bind {
        address,
        purpose: purpose.into(),
        source,
    })
}
