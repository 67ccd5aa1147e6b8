//! The side that takes revisions: entries, relays and fan-out VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{PublisherMessage, RolloutStatus, SubscriberMessage, Update};
use crate::{Change, PUBLISHER_TIMEOUT, RevisionId};

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest first wait before connecting again; it doubles up to the cap.
const RECONNECT_WAIT: Duration = Duration::from_millis(500);

/// The longest wait before connecting again.
const RECONNECT_WAIT_CAP: Duration = Duration::from_millis(1_500);

/// Settings of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberSettings {
    /// Names the VM and its role in reports of who lags.
    pub name: Box<str>,
    /// The publishers, of which it follows one at a time.
    pub servers: Vec<SocketAddr>,
    /// Seeds the order of publishers and the waits between connections.
    pub seed: u64,
}

/// What a subscriber wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// Connect to a publisher, in place of any connection.
    Connect(SocketAddr),
    /// Close the connection.
    Disconnect,
    /// Send a message to the publisher.
    Send(SubscriberMessage),
    /// Put a revision in force as a whole; keep it on disk if there is one.
    Adopt(Arc<Change>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Waiting { until: Instant },
    Connecting { until: Instant },
    Connected { silent_at: Instant },
}

/// Follows one publisher at a time and adopts whole revisions, each newer
/// than the one before.
#[derive(Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    rng: ChaCha8Rng,
    adopted: Option<Arc<Change>>,
    downstream: RolloutStatus,
    link: Link,
    next_server: usize,
    failures: u32,
    outputs: VecDeque<SubscriberOutput>,
}

impl Subscriber {
    /// Starts with the revision that the VM's disk holds, if any.
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
            link: Link::Waiting { until: now },
            next_server: 0,
            failures: 0,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the revision in force.
    pub fn adopted(&self) -> Option<&Arc<Change>> {
        self.adopted.as_ref()
    }

    /// Returns revision and digest in force.
    pub fn have(&self) -> RevisionId {
        self.adopted
            .as_ref()
            .map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Takes the reach of the VMs that this one serves, for its reports.
    pub fn set_downstream(&mut self, downstream: RolloutStatus) {
        self.downstream = downstream;
    }

    /// Tells whether a publisher was heard lately.
    pub fn is_connected(&self) -> bool {
        matches!(self.link, Link::Connected { .. })
    }

    /// Takes note that the connection is up.
    pub fn connected(&mut self, now: Instant) {
        if !matches!(self.link, Link::Connecting { .. }) {
            return;
        }
        let silent_at = now + PUBLISHER_TIMEOUT;
        self.link = Link::Connected { silent_at };
        let name = self.settings.name.clone();
        let have = self.have();
        self.send(SubscriberMessage::Hello { name, have });
    }

    /// Takes note that the connection is lost or did not come up.
    pub fn disconnected(&mut self, now: Instant) {
        if matches!(self.link, Link::Waiting { .. }) {
            return;
        }
        let longest = RECONNECT_WAIT
            .saturating_mul(1 << self.failures.min(8))
            .min(RECONNECT_WAIT_CAP);
        let wait = longest.mul_f64(self.rng.random::<f64>());
        self.failures += 1;
        self.link = Link::Waiting { until: now + wait };
    }

    /// Takes a message of the publisher.
    pub fn receive(&mut self, now: Instant, message: PublisherMessage) {
        if let Link::Connected { silent_at } = &mut self.link {
            *silent_at = now + PUBLISHER_TIMEOUT;
        }
        self.failures = 0;
        match message {
            PublisherMessage::Heartbeat { newest } => self.take_heartbeat(newest),
            PublisherMessage::Update(update) => self.take_update(&update),
        }
    }

    fn take_heartbeat(&mut self, newest: RevisionId) {
        let have = self.have();
        if newest.revision == have.revision && newest.digest != have.digest {
            log::error!(
                "revision {} is {} here and {} at the publisher: is it another site?",
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

    fn take_update(&mut self, update: &Update) {
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

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        match self.link {
            Link::Waiting { until } if now >= until => self.connect(now),
            Link::Connecting { until } | Link::Connected { silent_at: until } if now >= until => {
                self.outputs.push_back(SubscriberOutput::Disconnect);
                self.disconnected(now);
            }
            _ => {}
        }
    }

    fn connect(&mut self, now: Instant) {
        let servers = &self.settings.servers;
        let Some(server) = servers.get(self.next_server % servers.len().max(1)) else {
            self.link = Link::Waiting {
                until: now + RECONNECT_WAIT_CAP,
            };
            return;
        };
        self.outputs.push_back(SubscriberOutput::Connect(*server));
        self.next_server += 1;
        let until = now + CONNECT_TIMEOUT;
        self.link = Link::Connecting { until };
    }

    /// Returns the instant at which [`Subscriber::tick`] is next wanted.
    pub fn next_deadline(&self) -> Instant {
        match self.link {
            Link::Waiting { until }
            | Link::Connecting { until }
            | Link::Connected { silent_at: until } => until,
        }
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<SubscriberOutput> {
        self.outputs.pop_front()
    }
}
