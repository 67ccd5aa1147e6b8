//! One subscriber with its connection and its disk.

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

/// Messages of one connection that may wait.
const QUEUE: usize = 16;

/// Counts connections, so that news of an earlier one is told apart.
type ConnectionId = u64;

enum Event {
    Connected,
    Message(PublisherMessage),
    Closed,
}

struct Connection {
    task: JoinHandle<()>,
    tx: mpsc::Sender<SubscriberMessage>,
}

/// One subscriber with its connection and its disk.
pub(super) struct Follow {
    pub(super) name: Box<str>,
    pub(super) subscriber: Subscriber,
    pub(super) file: Option<AdoptedFile<DataDirectory>>,
    pub(super) secret: Secret,
}

impl Follow {
    /// Follows the publishers for ever; calls `adopt` for each revision, after
    /// it is on disk, and `behind` for the reach of the VMs served.
    pub(super) async fn run(
        mut self,
        mut adopt: impl FnMut(Arc<Change>),
        behind: impl Fn() -> RolloutStatus,
    ) {
        let (events_tx, mut events) = mpsc::channel(QUEUE);
        let mut id: ConnectionId = 0;
        let mut connection: Option<Connection> = None;
        loop {
            self.subscriber.set_downstream(behind());
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
                Some((of, event)) = events.recv() => {
                    if of == id {
                        self.take(event);
                    }
                }
                () = actix_rt::time::sleep_until(self.subscriber.next_deadline().into()) => {}
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Connected => self.subscriber.connected(now),
            Event::Message(message) => self.subscriber.receive(now, message),
            Event::Closed => self.subscriber.disconnected(now),
        }
    }

    /// Keeps a revision on disk; without it a restart has to ask a publisher.
    fn save(&mut self, change: &Change) {
        let Some(file) = &mut self.file else {
            return;
        };
        if let Err(e) = file.save(change) {
            log::error!(
                "revision {} is in force but not on disk: {e}",
                change.revision
            );
        }
    }

    fn connect(
        &self,
        server: SocketAddr,
        id: ConnectionId,
        events: mpsc::Sender<(ConnectionId, Event)>,
    ) -> Connection {
        let (tx, rx) = mpsc::channel(QUEUE);
        let secret = self.secret;
        let task = actix_rt::spawn(async move {
            if let Err(e) = carry(server, secret, id, rx, &events).await {
                log::info!("the publisher at {server} is gone: {e}");
            }
            // The other end is gone only when all stops.
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

fn send(connection: Option<&Connection>, message: SubscriberMessage) {
    // A message that finds no room is made up for at the next heartbeat.
    if connection.is_some_and(|c| c.tx.try_send(message).is_err()) {
        log::debug!("a message to the publisher is dropped");
    }
}

async fn carry(
    server: SocketAddr,
    secret: Secret,
    id: ConnectionId,
    mut rx: mpsc::Receiver<SubscriberMessage>,
    events: &mpsc::Sender<(ConnectionId, Event)>,
) -> Result<(), TransportError> {
    let client = Client::connect(server, secret).await?;
    let (mut writer, mut reader) = client.open(SUBSCRIBE_PATH).await?;
    // The other end is gone only when all stops.
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
