//! Streams to other control VMs.

use std::net::SocketAddr;
use std::time::Duration;

use currantgate_control::{Client, IncomingStream, Secret, TransportError};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::call::{Envelope, PEER_PATH};

/// Messages that may wait for one peer; more are dropped, as the consensus
/// stands losses.
const PEER_QUEUE: usize = 64;

/// How long the other side may take to tell that it got a message.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long to wait before connecting again.
const RECONNECT_WAIT: Duration = Duration::from_millis(100);

/// A stream to another control VM, connected again whenever it breaks or
/// falls silent.
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    tx: mpsc::Sender<Envelope>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Peer {
    pub(super) fn start(address: SocketAddr, secret: Secret) -> Self {
        let (tx, rx) = mpsc::channel(PEER_QUEUE);
        let task = actix_rt::spawn(keep_connected(address, secret, rx));
        Self { address, tx, task }
    }

    pub(super) fn send(&self, envelope: Envelope) {
        if self.tx.try_send(envelope).is_err() {
            log::debug!(
                "a message to {} is dropped: the queue is full",
                self.address
            );
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep_connected(address: SocketAddr, secret: Secret, mut rx: mpsc::Receiver<Envelope>) {
    let mut was_up = true;
    loop {
        let ended = carry(address, secret, &mut rx, &mut was_up).await;
        match ended {
            Ok(()) => return,
            Err(e) if was_up => log::warn!("control VM at {address} can't be reached: {e}"),
            Err(e) => log::debug!("control VM at {address} can't be reached: {e}"),
        }
        was_up = false;
        sleep(RECONNECT_WAIT).await;
        // What waited meanwhile is old.
        while rx.try_recv().is_ok() {}
    }
}

/// Carries messages until the stream fails, or the queue is closed.
async fn carry(
    address: SocketAddr,
    secret: Secret,
    rx: &mut mpsc::Receiver<Envelope>,
    is_up: &mut bool,
) -> Result<(), TransportError> {
    let client = Client::connect(address, secret).await?;
    let opened = timeout(SILENCE_TIMEOUT, client.open(PEER_PATH)).await;
    let (mut writer, mut reader) = opened.map_err(|_| TransportError::Timeout)??;
    let mut sent = 0_u64;
    let mut silent_at: Option<Instant> = None;
    loop {
        let silence = sleep_until(silent_at.unwrap_or_else(Instant::now));
        tokio::select! {
            envelope = rx.recv() => {
                let Some(envelope) = envelope else { return Ok(()) };
                let written = timeout(SILENCE_TIMEOUT, writer.send(&envelope)).await;
                written.map_err(|_| TransportError::Timeout)??;
                sent += 1;
                silent_at.get_or_insert_with(|| Instant::now() + SILENCE_TIMEOUT);
            }
            received = reader.next::<u64>() => {
                let received = received?.ok_or(TransportError::Truncated)?;
                *is_up = true;
                silent_at = (received < sent).then(|| Instant::now() + SILENCE_TIMEOUT);
            }
            () = silence, if silent_at.is_some() => return Err(TransportError::Timeout),
        }
    }
}

/// Takes the messages of a stream, and tells after each how many came.
pub(super) async fn serve_peer(mut incoming: IncomingStream, take: impl Fn(Envelope)) {
    let mut received = 0_u64;
    loop {
        match incoming.reader.next::<Envelope>().await {
            Ok(Some(envelope)) => take(envelope),
            Ok(None) => return,
            Err(e) => {
                log::warn!("a stream from {} is given up: {e}", incoming.from);
                return;
            }
        }
        received += 1;
        if incoming.writer.send(&received).await.is_err() {
            return;
        }
    }
}
