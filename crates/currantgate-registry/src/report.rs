//! Reports of upstreams about themselves.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest warm-up of an upstream; a longer one is taken for a mistake.
const MAX_WARMUP: Duration = Duration::from_secs(24 * 60 * 60);

/// Id of an upstream, which may stay the same over a restart.
pub type UpstreamId = Box<str>;

/// Version of a report. The reports of an upstream are ordered by the start of the
/// incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportVersion {
    /// Start of the incarnation, in milliseconds since 1970 by the upstream's clock.
    pub started_ms: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
}

/// State that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts new flows.
    Ready,
    /// The upstream completes its open flows and accepts no new ones.
    Draining,
    /// The upstream has left.
    Gone,
}

impl Report {
    /// Returns the departure of an upstream of which no report was received. Without
    /// `started_ms` it applies to any incarnation.
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

    /// Limits the warm-up to a length from which instants can be computed. Records from disk and
    /// from other VMs may hold any value.
    pub(crate) fn limit_warmup(&mut self) {
        self.warmup_remaining = self.warmup_remaining.min(MAX_WARMUP);
    }

    /// Tells whether this is only a departure, without the other fields.
    pub fn is_departure(&self) -> bool {
        self.service.is_empty()
    }
}

/// Report of an upstream about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Version of this report.
    pub version: ReportVersion,
    /// Service of the upstream.
    pub service: Box<str>,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Failure domain of the upstream.
    pub domain: Box<str>,
    /// Number of requests that it works on concurrently.
    pub slots: u32,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Remaining time of its warm-up, in which it is slower.
    pub warmup_remaining: Duration,
}
