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

/// Silence after which a feed is opened again: three of its messages.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often a listener tells that it is there.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The first wait before a feed is opened again; it doubles up to the last,
/// so that a lost VM costs little and one that is back is found soon.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// The longest wait before a feed is opened again.
const LAST_WAIT: Duration = Duration::from_millis(400);

/// Keeps a feed open; ends when `requests` is closed.
pub(super) async fn keep_feed(
    address: SocketAddr,
    secret: Secret,
    hello: FeedHello,
    held: Rc<Cell<Revision>>,
    mut requests: mpsc::Receiver<FeedRequest>,
    events: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut wait = FIRST_WAIT;
    loop {
        let mut was_up = false;
        let ended = carry(
            address,
            secret,
            &hello,
            &held,
            &mut requests,
            &events,
            &mut was_up,
        )
        .await;
        if was_up {
            wait = FIRST_WAIT;
            if events.send(FeedEvent::Down(address)).is_err() {
                return;
            }
        }
        match ended {
            Ok(()) => return,
            Err(e) if was_up => {
                log::warn!(event = "feed", from:% = address; "feed is lost: {e}");
            }
            Err(e) => log::debug!("the feed of {address} can't be opened: {e}"),
        }
        sleep(wait).await;
        wait = (wait * 2).min(LAST_WAIT);
    }
}

async fn carry(
    address: SocketAddr,
    secret: Secret,
    hello: &FeedHello,
    held: &Cell<Revision>,
    requests: &mut mpsc::Receiver<FeedRequest>,
    events: &mpsc::UnboundedSender<FeedEvent>,
    was_up: &mut bool,
) -> Result<(), TransportError> {
    let client = Client::connect(address, secret).await?;
    let opened = timeout(SILENCE_TIMEOUT, client.open(FEED_PATH)).await;
    let (mut writer, mut reader) = opened.map_err(|_| TransportError::Timeout)??;
    writer.send(hello).await?;
    let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
    let mut heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
    loop {
        let request = tokio::select! {
            message = reader.next::<FeedMessage>() => {
                let message = message?.ok_or(TransportError::Truncated)?;
                silent_at = Instant::now() + SILENCE_TIMEOUT;
                if !std::mem::replace(was_up, true) {
                    // The other end is gone only when all stops.
                    let _ = events.send(FeedEvent::Up(address));
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
                    revision: held.get(),
                }
            }
            () = sleep_until(silent_at) => return Err(TransportError::Timeout),
        };
        let written = timeout(SILENCE_TIMEOUT, writer.send(&request)).await;
        written.map_err(|_| TransportError::Timeout)??;
    }
}
