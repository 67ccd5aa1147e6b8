//! Announces an upstream to entries over HTTP and withdraws it.

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, ClientRequest};
use currantgate_config::Incarnation;
use currantgate_membership::Announcement;

/// Timeout of a request to an entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends an announcement to each of `entries` in turn until one accepts it.
///
/// Returns whether one did.
pub(crate) async fn announce(
    entries: &[SocketAddr],
    service: &str,
    name: &str,
    announcement: &Announcement,
) -> bool {
    let client = make_client();
    for entry in entries {
        let request = client.put(upstream_url(*entry, service, name));
        if send(*entry, name, request.send_json(announcement)).await {
            return true;
        }
    }
    false
}

/// Sends a withdrawal to each of `entries` in turn until one accepts it.
///
/// Returns whether one did.
pub(crate) async fn withdraw(
    entries: &[SocketAddr],
    service: &str,
    name: &str,
    incarnation: Incarnation,
) -> bool {
    let client = make_client();
    for entry in entries {
        let url = format!(
            "{}?incarnation={incarnation}",
            upstream_url(*entry, service, name)
        );
        let request: ClientRequest = client.delete(url);
        if send(*entry, name, request.send()).await {
            return true;
        }
    }
    false
}

fn make_client() -> Client {
    Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

fn upstream_url(entry: SocketAddr, service: &str, name: &str) -> String {
    format!("http://{entry}/v1/upstreams/{service}/{name}")
}

async fn send(entry: SocketAddr, name: &str, request: awc::SendClientRequest) -> bool {
    match request.await {
        Ok(response) if response.status().is_success() => return true,
        Ok(response) => log::warn!(
            "entry {entry} rejected the request for upstream {name}: {}",
            response.status()
        ),
        Err(e) => log::debug!("request to entry {entry} for upstream {name} failed: {e}"),
    }
    false
}
