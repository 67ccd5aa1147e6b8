//! The subscriber, which receives revisions: entries, relays and fan-out VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{PublisherMessage, RolloutStatus, SubscriberMessage, Update};
use crate::{Change, PUBLISHER_TIMEOUT, RevisionId};

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum of the first random backoff before a reconnect. It doubles with
/// each failure up to [`MAX_RECONNECT_BACKOFF`].
const INITIAL_RECONNECT_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum backoff before a reconnect.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(1_500);

/// Settings of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberSettings {
    /// The name of the VM and its role in the rollout status.
    pub name: Box<str>,
    /// The addresses of the publishers, of which one is used at a time.
    pub servers: Vec<SocketAddr>,
    /// The seed of the order of publishers and of the reconnect backoff.
    pub seed: u64,
}

/// An output of a subscriber, which its owner carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// Connect to a publisher, and close any other connection.
    Connect(SocketAddr),
    /// Close the connection.
    Disconnect,
    /// Send a message to the publisher.
    Send(SubscriberMessage),
    /// Put a revision in force atomically, and write it to the disk if the VM has
    /// one.
    Adopt(Arc<Change>),
}

/// The state of the connection to a publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Backoff { until: Instant },
    Connecting { until: Instant },
    Connected { timeout_at: Instant },
}

/// Subscribes to one publisher at a time, and adopts complete revisions, each
/// newer than the previous one.
#[derive(Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    rng: ChaCha8Rng,
    adopted: Option<Arc<Change>>,
    /// The rollout status of the VMs that this one serves.
    downstream: RolloutStatus,
    link: Link,
    next_server: usize,
    failures: u32,
    outputs: VecDeque<SubscriberOutput>,
}

impl Subscriber {
    /// Returns a subscriber that continues from the revision on the VM's disk, if
    /// any.
    pub fn new(
        mut settings: SubscriberSettings,
        adopted: Option<Arc<Change>>,
        now: Instant,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        settings.servers.shuffle(&mut rng);
        Self {
            settings,
            rng,
            adopted,
            downstream: RolloutStatus::default(),
            link: Link::Backoff { until: now },
            next_server: 0,
            failures: 0,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the revision in force.
    pub fn adopted(&self) -> Option<&Arc<Change>> {
        self.adopted.as_ref()
    }

    /// Returns the id of the revision in force.
    pub fn have(&self) -> RevisionId {
        self.adopted
            .as_ref()
            .map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Sets the rollout status of the VMs that this one serves, which is included
    /// in acknowledgements.
    pub fn set_downstream(&mut self, downstream: RolloutStatus) {
        self.downstream = downstream;
    }

    /// Returns whether a connection to a publisher is open.
    pub fn is_connected(&self) -> bool {
        matches!(self.link, Link::Connected { .. })
    }

    /// Handles an established connection: sends the first message.
    pub fn connected(&mut self, now: Instant) {
        if !matches!(self.link, Link::Connecting { .. }) {
            return;
        }
        let timeout_at = now + PUBLISHER_TIMEOUT;
        self.link = Link::Connected { timeout_at };
        let name = self.settings.name.clone();
        let have = self.have();
        self.send(SubscriberMessage::Hello { name, have });
    }

    /// Handles a closed connection or a failed attempt to connect: starts the
    /// backoff.
    pub fn disconnected(&mut self, now: Instant) {
        if matches!(self.link, Link::Backoff { .. }) {
            return;
        }
        let max_backoff = INITIAL_RECONNECT_BACKOFF
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_RECONNECT_BACKOFF);
        let backoff = max_backoff.mul_f64(self.rng.random::<f64>());
        self.failures += 1;
        self.link = Link::Backoff {
            until: now + backoff,
        };
    }

    /// Handles a message of the publisher.
    pub fn receive(&mut self, now: Instant, message: PublisherMessage) {
        if let Link::Connected { timeout_at } = &mut self.link {
            *timeout_at = now + PUBLISHER_TIMEOUT;
        }
        self.failures = 0;
        match message {
            PublisherMessage::Heartbeat { newest } => self.receive_heartbeat(newest),
            PublisherMessage::Update(update) => self.receive_update(&update),
        }
    }

    fn receive_heartbeat(&mut self, newest: RevisionId) {
        let have = self.have();
        if newest.revision == have.revision && newest.digest != have.digest {
            log::error!(
                "revision {} has digest {} here but {} at the publisher: does it belong to another site?",
                have.revision,
                have.digest,
                newest.digest
            );
        }
        if newest.revision > have.revision {
            self.send(SubscriberMessage::Pull { have });
        } else {
            self.send_ack();
        }
    }

    fn receive_update(&mut self, update: &Update) {
        if update.target().revision <= self.have().revision {
            return self.send_ack();
        }
        match update.rebuild(self.adopted.as_ref()) {
            Some(change) => self.adopt(change),
            None => {
                let have = self.have();
                self.send(SubscriberMessage::Pull { have });
            }
        }
    }

    fn adopt(&mut self, change: Arc<Change>) {
        self.adopted = Some(Arc::clone(&change));
        self.outputs.push_back(SubscriberOutput::Adopt(change));
        self.send_ack();
    }

    fn send_ack(&mut self) {
        let have = self.have();
        let rollout =
            RolloutStatus::single(&self.settings.name, have.revision).merge(&self.downstream);
        self.send(SubscriberMessage::Ack { have, rollout });
    }

    fn send(&mut self, message: SubscriberMessage) {
        self.outputs.push_back(SubscriberOutput::Send(message));
    }

    /// Handles the timeouts that have expired at `now`.
    pub fn tick(&mut self, now: Instant) {
        match self.link {
            Link::Backoff { until } if now >= until => self.connect(now),
            Link::Connecting { until } | Link::Connected { timeout_at: until } if now >= until => {
                self.outputs.push_back(SubscriberOutput::Disconnect);
                self.disconnected(now);
            }
            _ => {}
        }
    }

    fn connect(&mut self, now: Instant) {
        let servers = &self.settings.servers;
        let Some(server) = servers.get(self.next_server % servers.len().max(1)) else {
            self.link = Link::Backoff {
                until: now + MAX_RECONNECT_BACKOFF,
            };
            return;
        };
        self.outputs.push_back(SubscriberOutput::Connect(*server));
        self.next_server += 1;
        let until = now + CONNECT_TIMEOUT;
        self.link = Link::Connecting { until };
    }

    /// Returns the instant at which [`Subscriber::tick`] must be called next.
    pub fn next_deadline(&self) -> Instant {
        match self.link {
            Link::Backoff { until }
            | Link::Connecting { until }
            | Link::Connected { timeout_at: until } => until,
        }
    }

    /// Returns the next output.
    pub fn poll_output(&mut self) -> Option<SubscriberOutput> {
        self.outputs.pop_front()
    }
}
