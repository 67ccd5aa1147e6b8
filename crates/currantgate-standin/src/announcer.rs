//! Announces an upstream to entries over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use currantgate_membership::Announcement;

/// How long an entry may take to answer an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces once, to the first of `entries` that accepts it.
pub(crate) async fn announce(
    entries: &[SocketAddr],
    service: &str,
    name: &str,
    announcement: &Announcement,
) -> bool {
    let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
    for entry in entries {
        let url = format!("http://{entry}/v1/upstreams/{service}/{name}");
        match client.put(url).send_json(announcement).await {
            Ok(answer) if answer.status().is_success() => return true,
            Ok(answer) => log::warn!("entry {entry} rejected {name}: {}", answer.status()),
            Err(e) => log::debug!("entry {entry} did not answer {name}: {e}"),
        }
    }
    false
}
