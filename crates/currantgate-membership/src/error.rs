//! Why an announcement is not accepted.

use std::net::SocketAddr;

use currantgate_config::{Domain, Incarnation};
use displaydoc::Display;

/// Why an announcement is not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AnnounceError {
    /// no service is called `{0}`
    UnknownService(Box<str>),
    /// failure domain `{0}` does not serve this service
    WrongDomain(Domain),
    /// incarnation {given} is older than {known}
    OldIncarnation {
        /// The incarnation that the announcement names.
        given: Incarnation,
        /// The newest incarnation that is known.
        known: Incarnation,
    },
    /// address {0} is held by another upstream
    AddressInUse(SocketAddr),
    /// the entry knows {0} upstreams and takes no more
    TooMany(usize),
    /// `{0}` must be between 1 and {1}
    OutOfRange(&'static str, u32),
}

impl std::error::Error for AnnounceError {}
