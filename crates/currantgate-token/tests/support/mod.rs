//! Inputs of the router that several tests use.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use currantgate_placement::Target;
use currantgate_token::TokenUpstream;

/// Returns upstream `n` of the booking service in domain `a` as input of the router.
pub(crate) fn upstream(n: u8, slots: u32, now: Instant) -> (TokenUpstream, Option<Target>) {
    let token_upstream = TokenUpstream {
        id: format!("i-{n:08x}").into(),
        started_ms: n.into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 80),
        identity: n.into(),
        is_named: true,
    };
    let target = Target {
        key: 0,
        service: "booking".into(),
        domain: "a".into(),
        is_local: true,
        slots,
        warm_at: now,
        is_reporting: true,
    };
    (token_upstream, Some(target))
}
