//! The upstreams and callers of the demonstration.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use currantgate_config::{ConfigError, Service, Site};
use currantgate_standin::{
    Caller, CallerSettings, FabricHandle, StandinError, Upstream, UpstreamSettings,
};

use super::entries::Entries;

/// Site file of the demonstration.
const SITE_FILE: &str = r#"
domains = ["riga-1", "riga-2", "riga-3", "riga-4"]

[[service]]
name = "booking"
address = "127.20.0.1:443"

[[service]]
name = "calendar"
address = "127.20.0.2:443"
"#;

/// Number of upstreams of each service, in the order of the site file.
const UPSTREAM_COUNTS: [u8; 2] = [15, 5];

/// New flows per second to each service.
const FLOWS_PER_SECOND: [u32; 2] = [400, 150];

/// Parses the site file of the demonstration.
pub(crate) fn load() -> Result<Site, ConfigError> {
    Site::parse(SITE_FILE, "demo")
}

/// Starts the upstreams of all services.
pub(crate) async fn start_upstreams(
    site: &Site,
    entries: &Entries,
) -> Result<Vec<Upstream>, StandinError> {
    let mut upstreams = Vec::new();
    for (s, service) in site.services.iter().enumerate() {
        for i in 0..UPSTREAM_COUNTS[s] {
            let ip = Ipv4Addr::new(127, 0, 2, s as u8 * 100 + i);
            upstreams.push(start_upstream(site, entries, service, i, ip).await?);
        }
    }
    Ok(upstreams)
}

/// Starts the upstream that replaces a drained one of the first service.
pub(crate) async fn start_replacement(
    site: &Site,
    entries: &Entries,
) -> Result<Upstream, StandinError> {
    let i = UPSTREAM_COUNTS[0];
    let ip = Ipv4Addr::new(127, 0, 2, i);
    start_upstream(site, entries, &site.services[0], i, ip).await
}

async fn start_upstream(
    site: &Site,
    entries: &Entries,
    service: &Service,
    i: u8,
    ip: Ipv4Addr,
) -> Result<Upstream, StandinError> {
    let domain = &site.domains[usize::from(i) % site.domains.len()];
    Upstream::start(UpstreamSettings {
        service: service.name.clone(),
        name: format!("{}-{i}", service.name).into(),
        domain: domain.clone(),
        service_address: to_v4(service.address),
        listen: SocketAddrV4::new(ip, 0),
        announce: entries.announce_addresses(domain),
        entries: entries.tunnel_addresses(),
        seed: u64::from(ip.octets()[3]),
        ..UpstreamSettings::default()
    })
    .await
}

/// Starts one caller for each service, which opens flows for `duration`.
pub(crate) async fn start_callers(
    site: &Site,
    fabric: &FabricHandle,
    duration: Duration,
) -> Result<Vec<Caller>, StandinError> {
    let mut callers = Vec::new();
    for (s, service) in site.services.iter().enumerate() {
        let seconds = u32::try_from(duration.as_secs()).unwrap_or(u32::MAX);
        let settings = CallerSettings {
            ip: Ipv4Addr::new(127, 30, 0, s as u8 + 1),
            fabric: fabric.caller_side(),
            service: service.name.clone(),
            service_address: to_v4(service.address),
            flows_per_second: FLOWS_PER_SECOND[s],
            flows: FLOWS_PER_SECOND[s].saturating_mul(seconds),
            requests: 4,
            pause_ms: 700,
            listen_every: 10,
            chunks: 20,
            chunk_ms: 200,
        };
        callers.push(Caller::start(settings).await?);
    }
    Ok(callers)
}

fn to_v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("the demonstration's site has IPv4 addresses only"),
    }
}
