//! Checks of announcements and of records from other entries.

use std::net::SocketAddr;

use currantgate_config::Service;

use crate::{AnnounceError, MembersSettings, Upstream};

/// The longest name of an upstream, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Checks what an upstream says of itself, whoever passes it on.
pub(crate) fn check_upstream(
    settings: &MembersSettings,
    service: &Service,
    upstream: &Upstream,
) -> Result<(), AnnounceError> {
    check_name(&upstream.name)?;
    if !serves(settings, service, &upstream.domain) {
        return Err(AnnounceError::WrongDomain(upstream.domain.clone()));
    }
    if !(1..=settings.max_slots).contains(&upstream.slots) {
        return Err(AnnounceError::OutOfRange("slots", settings.max_slots));
    }
    check_address(upstream.address)
}

fn check_name(name: &str) -> Result<(), AnnounceError> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(plain) {
        return Ok(());
    }
    Err(AnnounceError::BadName(MAX_NAME_BYTES))
}

/// A service without a list is served by every failure domain that has entries.
fn serves(settings: &MembersSettings, service: &Service, domain: &str) -> bool {
    if service.domains.is_empty() {
        return settings.knows_domain(domain);
    }
    service.domains.iter().any(|d| &**d == domain)
}

fn check_address(address: SocketAddr) -> Result<(), AnnounceError> {
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(AnnounceError::BadAddress(address));
    }
    Ok(())
}
