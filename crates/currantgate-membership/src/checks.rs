//! Validation of announcements and of records from other entries.

use std::net::SocketAddr;

use currantgate_config::Service;

use crate::{AnnounceError, MembersSettings, Upstream};

/// Maximum length of an upstream's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Validates an upstream from an announcement or from another entry's record.
pub(crate) fn check_upstream(
    settings: &MembersSettings,
    service: &Service,
    upstream: &Upstream,
) -> Result<(), AnnounceError> {
    check_name(&upstream.name)?;
    if !is_served_by(settings, service, &upstream.domain) {
        return Err(AnnounceError::WrongDomain(upstream.domain.clone()));
    }
    if !(1..=settings.max_slots).contains(&upstream.slots) {
        return Err(AnnounceError::OutOfRange("slots", settings.max_slots));
    }
    check_address(upstream.address)
}

fn check_name(name: &str) -> Result<(), AnnounceError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(AnnounceError::BadName(MAX_NAME_BYTES))
}

/// Returns whether a failure domain may serve a service; a service without a list may
/// be served by every domain that has entries.
fn is_served_by(settings: &MembersSettings, service: &Service, domain: &str) -> bool {
    if service.domains.is_empty() {
        return settings.has_entries_in(domain);
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
