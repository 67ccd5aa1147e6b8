//! The listener's side of one feed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantgate_control::{Client, ReconnectBackoff, Revision, Secret, TransportError};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::links::FeedEvent;
use super::message::{FEED_PATH, FeedHello, FeedMessage, FeedRequest};

/// Time without a message after which a feed is reopened: three heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of the heartbeats that a listener sends.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// What the tasks of all feeds of a process share.
#[derive(Debug)]
pub(super) struct FeedShared {
    /// Secret that authenticates messages.
    pub(super) secret: Secret,
    /// The first message on each feed.
    pub(super) hello: FeedHello,
    /// Revision that the process holds, which the heartbeats report.
    pub(super) revision: Cell<Revision>,
    /// Highest revision of the evacuations that the process has received.
    pub(super) evacuations: Cell<u64>,
    /// Whether a control VM in contact with a quorum has sent a heartbeat.
    pub(super) had_quorum: Cell<bool>,
    /// Time since which the process has had no feed; nothing while it has one.
    pub(super) isolated_since: Cell<Option<std::time::Instant>>,
}

impl FeedShared {
    /// Records what a message says of evacuations, and returns whether to report what the
    /// process holds of them.
    fn record_message(&self, message: &FeedMessage) -> bool {
        match message {
            FeedMessage::Evacuations(state) => {
                let held = self.evacuations.get();
                self.evacuations.set(held.max(state.revision));
                true
            }
            FeedMessage::Heartbeat(heartbeat) => {
                let had_quorum = self.had_quorum.get();
                self.had_quorum.set(had_quorum || heartbeat.is_in_quorum);
                false
            }
            _ => false,
        }
    }

    fn evacuations_report(&self) -> FeedRequest {
        FeedRequest::Evacuations {
            revision: self.revision.get(),
            evacuations: self.evacuations.get(),
            had_quorum: self.had_quorum.get(),
        }
    }
}

/// Keeps a feed open, and reopens it when it is lost. Returns when `requests` is
/// closed.
pub(super) async fn run_feed(
    address: SocketAddr,
    shared: Rc<FeedShared>,
    is_unlisted: Rc<Cell<bool>>,
    mut requests: mpsc::Receiver<FeedRequest>,
    events: mpsc::UnboundedSender<FeedEvent>,
) {
    let mut backoff = ReconnectBackoff::default();
    loop {
        let mut was_connected = false;
        let result =
            run_connection(address, &shared, &mut requests, &events, &mut was_connected).await;
        if was_connected {
            backoff.reset();
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
        let now = Instant::now().into_std();
        let isolated_since = shared.isolated_since.get();
        let retry_at = if is_unlisted.get() {
            backoff.next_attempt_to_unlisted(now, isolated_since)
        } else {
            backoff.next_attempt(now, isolated_since)
        };
        sleep_until(retry_at.into()).await;
    }
}

/// Opens the feed once and runs it until it is lost or `requests` is closed. Sets
/// `was_connected` on the first message.
async fn run_connection(
    address: SocketAddr,
    shared: &FeedShared,
    requests: &mut mpsc::Receiver<FeedRequest>,
    events: &mpsc::UnboundedSender<FeedEvent>,
    was_connected: &mut bool,
) -> Result<(), TransportError> {
    let client = Client::connect(address, shared.secret).await?;
    let opened = timeout(SILENCE_TIMEOUT, client.open(FEED_PATH)).await;
    let (mut writer, mut reader) = opened.map_err(|_| TransportError::Timeout)??;
    writer.send(&shared.hello).await?;
    if shared.evacuations.get() > 0 {
        writer.send(&shared.evacuations_report()).await?;
    }
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
                let is_answered = shared.record_message(&message);
                let _ = events.send(FeedEvent::Message(address, message));
                if !is_answered {
                    continue;
                }
                shared.evacuations_report()
            }
            request = requests.recv() => match request {
                Some(request) => {
                    // Each request also serves as a heartbeat.
                    heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
                    request
                }
                None => return Ok(()),
            },
            () = sleep_until(heartbeat_due) => {
                heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
                FeedRequest::Heartbeat {
                    revision: shared.revision.get(),
                }
            }
            () = sleep_until(deadline) => return Err(TransportError::Timeout),
        };
        let written = timeout(SILENCE_TIMEOUT, writer.send(&request)).await;
        written.map_err(|_| TransportError::Timeout)??;
    }
}
