//! Streams to other control VMs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantgate_control::{Client, IncomingStream, Secret, TransportError};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::call::{Envelope, PEER_PATH};

/// Number of messages that may be queued for one peer; more are dropped, as the consensus
/// tolerates losses.
const PEER_QUEUE_LEN: usize = 64;

/// Time within which the peer must open a stream or acknowledge a message.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before reconnecting.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Number of failures in a row after which a peer counts as down.
const DOWN_AFTER_FAILURES: u32 = 5;

/// Delay before reconnecting to a peer that is down, while there is nothing to send to it.
const DOWN_RECONNECT_DELAY: Duration = Duration::from_millis(1_000);

/// A stream to another control VM, reconnected whenever it fails or an acknowledgement
/// times out.
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    is_open: Rc<Cell<bool>>,
    is_refused: Rc<Cell<bool>>,
    tx: mpsc::Sender<Envelope>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Peer {
    /// Spawns the task that connects to the peer. It notifies `refused` when the peer refuses
    /// a connection after it was reached.
    pub(super) fn start(address: SocketAddr, secret: Secret, refused: Rc<Notify>) -> Self {
        let (tx, rx) = mpsc::channel(PEER_QUEUE_LEN);
        let is_open = Rc::new(Cell::new(false));
        let is_refused = Rc::new(Cell::new(false));
        let reach = Reach {
            is_open: Rc::clone(&is_open),
            is_refused: Rc::clone(&is_refused),
            refused,
            was_up: true,
            failures: 0,
        };
        let task = actix_rt::spawn(keep_connected(address, secret, rx, reach));
        Self {
            address,
            is_open,
            is_refused,
            tx,
            task,
        }
    }

    /// Returns whether the stream is open.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Returns whether the last attempt to connect was refused, as nothing listens there.
    pub(super) fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Queues a message, or drops it if the queue is full.
    pub(super) fn send(&self, envelope: Envelope) {
        if self.tx.try_send(envelope).is_err() {
            log::debug!("dropped a message to {}: the queue is full", self.address);
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What is known of a peer from the last attempts to reach it.
struct Reach {
    /// Whether the stream is open.
    is_open: Rc<Cell<bool>>,
    /// Whether the last attempt was refused.
    is_refused: Rc<Cell<bool>>,
    /// Notified when an attempt is refused for the first time.
    refused: Rc<Notify>,
    /// Whether it has acknowledged a message on the last stream.
    was_up: bool,
    /// The number of attempts since a stream was opened.
    failures: u32,
}

/// Reconnects to the peer until the queue is closed.
async fn keep_connected(
    address: SocketAddr,
    secret: Secret,
    mut rx: mpsc::Receiver<Envelope>,
    mut reach: Reach,
) {
    let mut first = None;
    loop {
        let ended = run_stream(address, secret, &mut rx, first.take(), &mut reach).await;
        let is_refused = matches!(&ended, Err(e) if e.is_refusal());
        if !reach.is_refused.replace(is_refused) && is_refused {
            reach.refused.notify_one();
        }
        match ended {
            Ok(()) => return,
            Err(e) if reach.was_up => log::warn!("control VM at {address} is unreachable: {e}"),
            Err(e) => log::debug!("control VM at {address} is unreachable: {e}"),
        }
        reach.is_open.set(false);
        let was_up = std::mem::replace(&mut reach.was_up, false);
        reach.failures += 1;
        // After the end of a stream, a refused connection shows at once that the process has
        // ended.
        if !was_up {
            sleep(RECONNECT_DELAY).await;
        }
        // Messages queued meanwhile are outdated.
        while rx.try_recv().is_ok() {}
        if reach.failures >= DOWN_AFTER_FAILURES {
            match timeout(DOWN_RECONNECT_DELAY, rx.recv()).await {
                Ok(None) => return,
                Ok(Some(envelope)) => first = Some(envelope),
                Err(_) => {}
            }
        }
    }
}

/// Carries messages, beginning with `first`, until the stream fails or the queue is closed.
async fn run_stream(
    address: SocketAddr,
    secret: Secret,
    rx: &mut mpsc::Receiver<Envelope>,
    mut first: Option<Envelope>,
    reach: &mut Reach,
) -> Result<(), TransportError> {
    let client = Client::connect_probed(address, secret).await?;
    let opened = timeout(ACK_TIMEOUT, client.open(PEER_PATH)).await;
    let (mut writer, mut reader) = opened.map_err(|_| TransportError::Timeout)??;
    reach.is_open.set(true);
    reach.is_refused.set(false);
    reach.failures = 0;
    let mut sent = 0_u64;
    let mut ack_deadline: Option<Instant> = None;
    loop {
        let ack_timeout = sleep_until(ack_deadline.unwrap_or_else(Instant::now));
        tokio::select! {
            envelope = next_envelope(&mut first, rx) => {
                let Some(envelope) = envelope else { return Ok(()) };
                let written = timeout(ACK_TIMEOUT, writer.send(&envelope)).await;
                written.map_err(|_| TransportError::Timeout)??;
                sent += 1;
                ack_deadline.get_or_insert_with(|| Instant::now() + ACK_TIMEOUT);
            }
            acked = reader.next::<u64>() => {
                let acked = acked?.ok_or(TransportError::Truncated)?;
                reach.was_up = true;
                ack_deadline = (acked < sent).then(|| Instant::now() + ACK_TIMEOUT);
            }
            () = ack_timeout, if ack_deadline.is_some() => return Err(TransportError::Timeout),
        }
    }
}

/// Returns `first` if it is left, and then the messages of the queue.
async fn next_envelope(
    first: &mut Option<Envelope>,
    rx: &mut mpsc::Receiver<Envelope>,
) -> Option<Envelope> {
    match first.take() {
        Some(envelope) => Some(envelope),
        None => rx.recv().await,
    }
}

/// Passes the messages of a stream to `handle`, and acknowledges each with the number
/// received so far.
pub(super) async fn serve_peer(mut incoming: IncomingStream, handle: impl Fn(Envelope)) {
    let mut received = 0_u64;
    loop {
        match incoming.reader.next::<Envelope>().await {
            Ok(Some(envelope)) => handle(envelope),
            Ok(None) => return,
            Err(e) => {
                log::warn!("a stream from {} failed: {e}", incoming.from);
                return;
            }
        }
        received += 1;
        if incoming.writer.send(&received).await.is_err() {
            return;
        }
    }
}
