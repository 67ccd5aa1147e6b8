//! The listener's side of one feed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantgate_control::{Client, Revision, Secret, TransportError};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::links::FeedEvent;
use super::message::{FEED_PATH, FeedHello, FeedMessage, FeedRequest};

/// Time without a message after which a feed is reopened: three heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of the heartbeats that a listener sends.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// First backoff before a feed is reopened. It doubles up to [`MAX_BACKOFF`], so
/// that a lost VM costs little and one that has returned is found soon.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff before a feed is reopened.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Keeps a feed open, and reopens it when it is lost. Returns when `requests` is
/// closed.
pub(super) async fn run_feed(
    address: SocketAddr,
    secret: Secret,
    hello: FeedHello,
    revision: Rc<Cell<Revision>>,
    mut requests: mpsc::Receiver<FeedRequest>,
    events: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let mut was_connected = false;
        let result = run_connection(
            address,
            secret,
            &hello,
            &revision,
            &mut requests,
            &events,
            &mut was_connected,
        )
        .await;
        if was_connected {
            backoff = MIN_BACKOFF;
            if events.send(FeedEvent::Disconnected(address)).is_err() {
                return;
            }
        }
        match result {
            Ok(()) => return,
            Err(e) if was_connected => {
                log::warn!(event = "feed", from:% = address; "feed is lost: {e}");
            }
            Err(e) => log::debug!("opening the feed from {address} failed: {e}"),
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Opens the feed once and runs it until it is lost or `requests` is closed. Sets
/// `was_connected` on the first message.
async fn run_connection(
    address: SocketAddr,
    secret: Secret,
    hello: &FeedHello,
    revision: &Cell<Revision>,
    requests: &mut mpsc::Receiver<FeedRequest>,
    events: &mpsc::UnboundedSender<FeedEvent>,
    was_connected: &mut bool,
) -> Result<(), TransportError> {
    let client = Client::connect(address, secret).await?;
    let opened = timeout(SILENCE_TIMEOUT, client.open(FEED_PATH)).await;
    let (mut writer, mut reader) = opened.map_err(|_| TransportError::Timeout)??;
    writer.send(hello).await?;
    let mut deadline = Instant::now() + SILENCE_TIMEOUT;
    let mut heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
    loop {
        let request = tokio::select! {
            message = reader.next::<FeedMessage>() => {
                let message = message?.ok_or(TransportError::Truncated)?;
                deadline = Instant::now() + SILENCE_TIMEOUT;
                if !std::mem::replace(was_connected, true) {
                    // The receiver is closed only when the process stops.
                    let _ = events.send(FeedEvent::Connected(address));
                }
                let _ = events.send(FeedEvent::Message(address, message));
                continue;
            }
            request = requests.recv() => match request {
                Some(request) => request,
                None => return Ok(()),
            },
            () = sleep_until(heartbeat_due) => {
                heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
                FeedRequest::Heartbeat {
                    revision: revision.get(),
                }
            }
            () = sleep_until(deadline) => return Err(TransportError::Timeout),
        };
        let written = timeout(SILENCE_TIMEOUT, writer.send(&request)).await;
        written.map_err(|_| TransportError::Timeout)??;
    }
}
