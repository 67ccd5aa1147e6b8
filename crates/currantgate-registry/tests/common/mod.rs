//! Reports for tests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use currantgate_registry::{Report, ReportVersion, UpstreamState};

/// Returns a report of a ready upstream, whose address is derived from its id.
pub(crate) fn report(id: &str, started_ms: u64, sequence: u64) -> Report {
    let host = id.bytes().next().unwrap_or(0);
    Report {
        id: id.into(),
        version: ReportVersion {
            started_ms,
            sequence,
        },
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 80),
        domain: "north".into(),
        slots: 3,
        state: UpstreamState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}
