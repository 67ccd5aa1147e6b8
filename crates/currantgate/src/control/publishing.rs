//! A publisher with the connections to its subscribers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use currantgate_control::{
    Change, IncomingStream, Publisher, PublisherMessage, PublisherOutput, PublisherSettings,
    RolloutStatus, SubscriberId, SubscriberMessage,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc};

/// Number of messages that may be queued for one subscriber; with a full queue it is
/// disconnected, and subscribes anew.
const SUBSCRIBER_QUEUE_LEN: usize = 16;

/// A connection to a subscriber.
struct Connection {
    tx: mpsc::Sender<PublisherMessage>,
    /// Notified to close the connection.
    close: Rc<Notify>,
}

/// A publisher with the connections to its subscribers.
pub(super) struct Publishing {
    publisher: Publisher,
    connections: IndexMap<SubscriberId, Connection>,
    next_id: SubscriberId,
    /// Notified when the next deadline may have changed.
    wake: Rc<Notify>,
}

impl Publishing {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            publisher: Publisher::new(PublisherSettings::default(), now),
            connections: IndexMap::new(),
            next_id: 0,
            wake: Rc::new(Notify::new()),
        }
    }

    /// Publishes a new revision.
    pub(super) fn publish(&mut self, now: Instant, change: Arc<Change>) {
        self.publisher.publish(now, change);
        self.flush();
    }

    /// Returns the rollout to all subscribers and the VMs served by them.
    pub(super) fn rollout_status(&self) -> RolloutStatus {
        self.publisher.rollout_status()
    }

    /// Returns the name of each subscriber with the rollout behind it.
    pub(super) fn subscribers(&self) -> Vec<(Box<str>, RolloutStatus)> {
        let subscribers = self.publisher.subscribers();
        subscribers
            .map(|(name, rollout)| (name.into(), rollout.clone()))
            .collect()
    }

    /// Adds a connection; returns its id, the messages to send and the signal to close it.
    fn connect(&mut self) -> (SubscriberId, mpsc::Receiver<PublisherMessage>, Rc<Notify>) {
        let (tx, rx) = mpsc::channel(SUBSCRIBER_QUEUE_LEN);
        let close = Rc::new(Notify::new());
        self.next_id += 1;
        let connection = Connection {
            tx,
            close: Rc::clone(&close),
        };
        self.connections.insert(self.next_id, connection);
        (self.next_id, rx, close)
    }

    fn disconnect(&mut self, id: SubscriberId) {
        self.publisher.disconnected(id);
        if let Some(connection) = self.connections.swap_remove(&id) {
            connection.close.notify_one();
        }
    }

    /// Handles a message of a subscriber, which is disconnected if the publisher rejects it.
    fn receive(&mut self, id: SubscriberId, message: SubscriberMessage) {
        let is_accepted = self.publisher.receive(Instant::now(), id, message);
        if !is_accepted {
            self.disconnect(id);
        }
        self.flush();
    }

    /// Carries out all pending outputs of the publisher.
    fn flush(&mut self) {
        while let Some(output) = self.publisher.poll_output() {
            match output {
                PublisherOutput::Close(id) => self.disconnect(id),
                PublisherOutput::Send { to, message } => {
                    let connection = self.connections.get(&to);
                    if connection.is_some_and(|c| c.tx.try_send(message).is_err()) {
                        self.disconnect(to);
                    }
                }
            }
        }
        self.wake.notify_one();
    }
}

/// Serves one subscriber until its stream ends or the publisher disconnects it.
pub(super) async fn serve_subscriber(publishing: &RefCell<Publishing>, incoming: IncomingStream) {
    let (id, mut rx, close) = publishing.borrow_mut().connect();
    let (mut reader, mut writer) = (incoming.reader, incoming.writer);
    let read = async {
        while let Some(message) = reader.next::<SubscriberMessage>().await? {
            publishing.borrow_mut().receive(id, message);
        }
        Ok::<_, currantgate_control::TransportError>(())
    };
    let write = async {
        while let Some(message) = rx.recv().await {
            writer.send(&message).await?;
        }
        Ok(())
    };
    let ended = tokio::select! {
        ended = read => ended,
        ended = write => ended,
        () = close.notified() => Ok(()),
    };
    if let Err(e) = ended {
        log::info!(
            "the stream of the subscriber at {} ended: {e}",
            incoming.from
        );
    }
    publishing.borrow_mut().disconnect(id);
}

/// Runs the timers of the publisher until dropped.
pub(super) async fn run_publisher_timers(publishing: Rc<RefCell<Publishing>>) {
    let wake = Rc::clone(&publishing.borrow().wake);
    loop {
        let deadline = publishing.borrow().publisher.next_deadline();
        tokio::select! {
            () = actix_rt::time::sleep_until(deadline.into()) => {
                let publishing = &mut *publishing.borrow_mut();
                publishing.publisher.tick(Instant::now());
                publishing.flush();
            }
            () = wake.notified() => {}
        }
    }
}
