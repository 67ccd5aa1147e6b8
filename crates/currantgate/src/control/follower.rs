//! A subscriber with its connection to a publisher and its file.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use currantgate_control::{
    AdoptedFile, Change, Client, DataDirectory, PublisherMessage, RolloutStatus, Secret,
    Subscriber, SubscriberMessage, SubscriberOutput, TransportError,
};
use tokio::sync::mpsc;
use tracing::debug_span;

use super::call::SUBSCRIBE_PATH;
use crate::TRACE_TARGET;

/// Number of messages of one connection that may be queued in each direction.
const QUEUE_LEN: usize = 16;

/// Number of a connection, by which events of earlier ones are discarded.
type ConnectionId = u64;

/// An event of a connection.
enum Event {
    Connected,
    Message(PublisherMessage),
    Closed,
}

/// A connection to a publisher, closed when dropped.
struct Connection {
    task: JoinHandle<()>,
    tx: mpsc::Sender<SubscriberMessage>,
}

/// A subscriber with its connection to a publisher and its file.
pub(super) struct Follower {
    pub(super) name: Box<str>,
    pub(super) subscriber: Subscriber,
    pub(super) file: Option<AdoptedFile<DataDirectory>>,
    pub(super) secret: Secret,
}

impl Follower {
    /// Runs the subscription until dropped. Calls `adopt` with each revision after an
    /// attempt to save it, and `downstream` for the rollout to the VMs served by this one.
    pub(super) async fn run(
        mut self,
        mut adopt: impl FnMut(Arc<Change>),
        downstream: impl Fn() -> RolloutStatus,
    ) {
        let (events_tx, mut events) = mpsc::channel(QUEUE_LEN);
        let mut id: ConnectionId = 0;
        let mut connection: Option<Connection> = None;
        loop {
            self.subscriber.set_downstream(downstream());
            self.subscriber.tick(Instant::now());
            while let Some(output) = self.subscriber.poll_output() {
                match output {
                    SubscriberOutput::Connect(server) => {
                        id += 1;
                        connection = Some(self.connect(server, id, events_tx.clone()));
                    }
                    SubscriberOutput::Disconnect => connection = None,
                    SubscriberOutput::Send(message) => send(connection.as_ref(), message),
                    SubscriberOutput::Adopt(change) => {
                        self.save(&change);
                        let revision = change.revision_id();
                        let name = &*self.name;
                        debug_span!(target: TRACE_TARGET, "adopt", name, %revision).in_scope(|| {});
                        adopt(change);
                    }
                }
            }
            tokio::select! {
                Some((event_id, event)) = events.recv() => {
                    if event_id == id {
                        self.handle_event(event);
                    }
                }
                () = actix_rt::time::sleep_until(self.subscriber.next_deadline().into()) => {}
            }
        }
    }

    /// Reports an event of the current connection to the subscriber.
    fn handle_event(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Connected => self.subscriber.connected(now),
            Event::Message(message) => self.subscriber.receive(now, message),
            Event::Closed => self.subscriber.disconnected(now),
        }
    }

    /// Saves a revision to disk. After a failure a restart has to fetch it from a publisher.
    fn save(&mut self, change: &Change) {
        let Some(file) = &mut self.file else {
            return;
        };
        if let Err(e) = file.save(change) {
            log::error!(
                "revision {} is applied but not saved to disk: {e}",
                change.revision
            );
        }
    }

    /// Spawns the task of a connection to `server`.
    fn connect(
        &self,
        server: SocketAddr,
        id: ConnectionId,
        events: mpsc::Sender<(ConnectionId, Event)>,
    ) -> Connection {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let secret = self.secret;
        let task = actix_rt::spawn(async move {
            if let Err(e) = run_connection(server, secret, id, rx, &events).await {
                log::info!("the connection to the publisher at {server} ended: {e}");
            }
            // Fails only once the follower has stopped.
            let _ = events.send((id, Event::Closed)).await;
        });
        Connection { task, tx }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Queues a message to the publisher, or drops it if the queue is full.
fn send(connection: Option<&Connection>, message: SubscriberMessage) {
    // The next heartbeat makes up for a message dropped from a full queue.
    if connection.is_some_and(|c| c.tx.try_send(message).is_err()) {
        log::debug!("dropped a message to the publisher: the queue is full or closed");
    }
}

/// Opens a stream and carries messages in both directions until it ends.
async fn run_connection(
    server: SocketAddr,
    secret: Secret,
    id: ConnectionId,
    mut rx: mpsc::Receiver<SubscriberMessage>,
    events: &mpsc::Sender<(ConnectionId, Event)>,
) -> Result<(), TransportError> {
    let client = Client::connect(server, secret).await?;
    let (mut writer, mut reader) = client.open(SUBSCRIBE_PATH).await?;
    // Fails only once the follower has stopped.
    let _ = events.send((id, Event::Connected)).await;
    let write = async {
        while let Some(message) = rx.recv().await {
            writer.send(&message).await?;
        }
        Ok(())
    };
    let read = async {
        while let Some(message) = reader.next().await? {
            let _ = events.send((id, Event::Message(message))).await;
        }
        Err(TransportError::Truncated)
    };
    tokio::select! {
        ended = write => ended,
        ended = read => ended,
    }
}
