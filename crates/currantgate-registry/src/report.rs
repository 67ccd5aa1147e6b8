//! What an upstream says of itself.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Names one upstream; a restart may keep the name.
pub type UpstreamId = Box<str>;

/// The order of what one upstream says: when it was started, then how many
/// reports it has sent since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportVersion {
    /// The start of the incarnation, in milliseconds since 1970 by its clock.
    pub started_ms: u64,
    /// The number of the report within the incarnation.
    pub sequence: u64,
}

/// What an upstream is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It takes new flows.
    Ready,
    /// It finishes the flows it has.
    Draining,
    /// It has left.
    Gone,
}

impl Report {
    /// Returns the last word of an upstream of which nothing else is known.
    pub fn departure(id: &str, started_ms: Option<u64>) -> Self {
        Self {
            id: id.into(),
            version: ReportVersion {
                started_ms: started_ms.unwrap_or(0),
                sequence: u64::MAX,
            },
            service: Box::default(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            domain: Box::default(),
            slots: 0,
            state: UpstreamState::Gone,
            warmup_remaining: Duration::ZERO,
        }
    }

    /// Tells whether this is only the word that an upstream has left.
    pub fn is_departure(&self) -> bool {
        self.service.is_empty()
    }
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which upstream it is.
    pub id: UpstreamId,
    /// The place of this report in the order of its reports.
    pub version: ReportVersion,
    /// The service that it serves.
    pub service: Box<str>,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// The failure domain that it stands in.
    pub domain: Box<str>,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// What it is ready for.
    pub state: UpstreamState,
    /// How much longer it is slow after its start.
    pub warmup_remaining: Duration,
}
