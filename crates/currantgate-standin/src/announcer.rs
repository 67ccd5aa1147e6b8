//! Announces an upstream to entries over HTTP, and withdraws it.

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, ClientRequest};
use currantgate_config::Incarnation;
use currantgate_membership::Announcement;

/// How long an entry may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces once, to the first of `entries` that accepts it.
pub(crate) async fn announce(
    entries: &[SocketAddr],
    service: &str,
    name: &str,
    announcement: &Announcement,
) -> bool {
    let client = make_client();
    for entry in entries {
        let request = client.put(url(*entry, service, name));
        if send(*entry, name, request.send_json(announcement)).await {
            return true;
        }
    }
    false
}

/// Withdraws an incarnation, at the first of `entries` that accepts it.
pub(crate) async fn withdraw(
    entries: &[SocketAddr],
    service: &str,
    name: &str,
    incarnation: Incarnation,
) -> bool {
    let client = make_client();
    for entry in entries {
        let url = format!("{}?incarnation={incarnation}", url(*entry, service, name));
        let request: ClientRequest = client.delete(url);
        if send(*entry, name, request.send()).await {
            return true;
        }
    }
    false
}

fn make_client() -> Client {
    Client::builder().timeout(ANSWER_TIMEOUT).finish()
}

fn url(entry: SocketAddr, service: &str, name: &str) -> String {
    format!("http://{entry}/v1/upstreams/{service}/{name}")
}

async fn send(entry: SocketAddr, name: &str, request: awc::SendClientRequest) -> bool {
    match request.await {
        Ok(answer) if answer.status().is_success() => return true,
        Ok(answer) => log::warn!("entry {entry} rejected {name}: {}", answer.status()),
        Err(e) => log::debug!("entry {entry} did not answer {name}: {e}"),
    }
    false
}
