//! The sockets of one relay.

use std::net::{SocketAddr, TcpListener};

use currantgate_config::{RelayListen, RelaySettings, RelayedService, Service, Site};
use indexmap::IndexMap;

use crate::RelayError;

/// The bound sockets of one relay: one for each service, and those of `listen`.
#[derive(Debug)]
pub struct RelaySockets {
    pub(crate) services: IndexMap<Box<str>, TcpListener>,
    pub(crate) announce: TcpListener,
    pub(crate) metrics: TcpListener,
}

impl RelaySockets {
    /// Binds the sockets of all services of the site and those of `listen`.
    ///
    /// With control VMs in the settings, the sockets of services are not bound here: the
    /// revision saved on disk may be newer than `site`, so the relay binds them itself.
    ///
    /// # Errors
    ///
    /// Returns an error with the address that can't be bound, or with a service of the
    /// settings that the site doesn't have or that is not TCP.
    pub fn bind(settings: &RelaySettings, site: &Site) -> Result<Self, RelayError> {
        let listeners = Self {
            services: IndexMap::new(),
            announce: bind(settings.listen.announce, "announce")?,
            metrics: bind(settings.listen.metrics, "metrics")?,
        };
        if settings.control.is_some() {
            return Ok(listeners);
        }
        let known = |name: &str| site.tcp_services().any(|s| *s.name == *name);
        if let Some(unknown) = settings.serves.iter().find(|s| !known(&s.service)) {
            return Err(RelayError::UnknownService(unknown.service.clone()));
        }
        let mut services = IndexMap::new();
        for service in site.tcp_services() {
            let listener = bind(bind_address(&settings.serves, service), &service.name)?;
            services.insert(service.name.clone(), listener);
        }
        Ok(Self {
            services,
            ..listeners
        })
    }

    /// Returns the address on which a service's requests are accepted.
    pub fn service_address(&self, name: &str) -> Option<SocketAddr> {
        self.services.get(name)?.local_addr().ok()
    }

    /// Returns the bound addresses of `listen` with their ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of a socket can't be read.
    pub fn addresses(&self) -> std::io::Result<RelayListen> {
        Ok(RelayListen {
            announce: self.announce.local_addr()?,
            metrics: self.metrics.local_addr()?,
        })
    }
}

/// Returns the address to bind for a service: that of the settings, else the service's own.
pub(super) fn bind_address(serves: &[RelayedService], service: &Service) -> SocketAddr {
    let mut serves = serves.iter();
    let own = serves.find(|serve| serve.service == service.name);
    own.map_or(service.address, |serve| serve.address)
}

/// Binds a non-blocking listener.
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
