//! Errors of announcements.

use std::net::SocketAddr;

use currantgate_config::{Domain, Incarnation};
use displaydoc::Display;

/// Reason for which an announcement is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AnnounceError {
    /// no service is called `{0}`
    UnknownService(Box<str>),
    /// failure domain `{0}` does not serve this service
    WrongDomain(Domain),
    /// incarnation {given} is older than {known}
    OldIncarnation {
        /// Incarnation in the announcement.
        given: Incarnation,
        /// Newest known incarnation.
        known: Incarnation,
    },
    /// incarnation {0} has ended; a restarted upstream announces a higher one
    IncarnationEnded(Incarnation),
    /// this incarnation has announced address {0}, which holds until it ends
    AddressChanged(SocketAddr),
    /// address {0} is held by another upstream
    AddressInUse(SocketAddr),
    /// {0} is not the address of one port of one host
    BadAddress(SocketAddr),
    /// the entry knows {0} upstreams and takes no more
    TooManyUpstreams(usize),
    /// `{0}` must be between 1 and {1}
    OutOfRange(&'static str, u32),
    /// `name` must be 1 to {0} letters, digits, dots, underscores or hyphens
    BadName(usize),
    /// no upstream of this service is called `{0}`
    UnknownUpstream(Box<str>),
    /// the entry is leaving and takes no announcements
    EntryLeaving,
}

impl std::error::Error for AnnounceError {}
