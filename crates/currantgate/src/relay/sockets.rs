//! The sockets of one relay.

use std::net::{SocketAddr, TcpListener};

use currantgate_config::{RelayListen, RelaySettings, Service, Site};
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
    /// # Errors
    ///
    /// Returns an error that names the address that can't be bound, or a
    /// service that the site doesn't have.
    pub fn bind(settings: &RelaySettings, site: &Site) -> Result<Self, RelayError> {
        let known = |name: &str| site.services.iter().any(|s| *s.name == *name);
        if let Some(unknown) = settings.serves.iter().find(|s| !known(&s.service)) {
            return Err(RelayError::UnknownService(unknown.service.clone()));
        }
        let mut services = IndexMap::new();
        for service in &site.services {
            let listener = bind(address_of(settings, service), &service.name)?;
            services.insert(service.name.clone(), listener);
        }
        Ok(Self {
            services,
            announce: bind(settings.listen.announce, "announce")?,
            metrics: bind(settings.listen.metrics, "metrics")?,
        })
    }

    /// Returns the address that a service's requests are taken on.
    pub fn service(&self, name: &str) -> Option<SocketAddr> {
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

fn address_of(settings: &RelaySettings, service: &Service) -> SocketAddr {
    let mut serves = settings.serves.iter();
    let own = serves.find(|serve| serve.service == service.name);
    own.map_or(service.address, |serve| serve.address)
}

fn bind(address: SocketAddr, purpose: &str) -> Result<TcpListener, RelayError> {
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
