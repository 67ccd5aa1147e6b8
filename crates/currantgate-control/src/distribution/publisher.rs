//! The publisher, which distributes revisions: voters and fan-out VMs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{PublisherMessage, RecentChanges, RolloutStatus, SubscriberMessage, Update};
use crate::{Change, PUBLISHER_HEARTBEAT_INTERVAL, Revision, RevisionId};

/// The time without a message after which a subscriber is disconnected.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(5);

/// The id of a subscriber's connection.
pub type SubscriberId = u64;

/// Settings of a publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// The rate limit of full updates, for subscribers without a recent revision,
    /// in bytes per second. It spreads the load when all VMs of a failure domain
    /// reconnect.
    pub full_bytes_per_second: u32,
    /// The maximum number of subscribers at a time.
    pub max_subscribers: usize,
}

impl Default for PublisherSettings {
    fn default() -> Self {
        Self {
            full_bytes_per_second: 8 << 20,
            max_subscribers: 4_096,
        }
    }
}

/// An output of a publisher, which its owner carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Send a message to a subscriber.
    Send {
        /// The subscriber.
        to: SubscriberId,
        /// The message.
        message: PublisherMessage,
    },
    /// Close the connection of a subscriber that has timed out.
    Close(SubscriberId),
}

/// The state of one subscriber.
#[derive(Debug)]
struct SubscriberState {
    name: Box<str>,
    /// The revision in force at the subscriber.
    have: RevisionId,
    /// The rollout status of the subscriber and the VMs that it serves.
    rollout: RolloutStatus,
    /// The revision that was sent and is not acknowledged yet.
    sent: Option<Revision>,
    /// The instant at which the subscriber is disconnected unless it sends a
    /// message before.
    timeout_at: Instant,
}

/// Pushes each revision to all subscribers, with at most one unacknowledged
/// update per subscriber.
#[derive(Debug)]
pub struct Publisher {
    settings: PublisherSettings,
    changes: RecentChanges,
    subscribers: IndexMap<SubscriberId, SubscriberState>,
    /// The subscribers that wait for a full update, in order.
    waiting_for_full: IndexSet<SubscriberId>,
    /// The instant from which the rate limit allows the next full update.
    next_full: Instant,
    next_heartbeat: Instant,
    outputs: VecDeque<PublisherOutput>,
}

impl Publisher {
    /// Returns a publisher without a revision and without subscribers.
    pub fn new(settings: PublisherSettings, now: Instant) -> Self {
        Self {
            settings,
            changes: RecentChanges::default(),
            subscribers: IndexMap::new(),
            waiting_for_full: IndexSet::new(),
            next_full: now,
            next_heartbeat: now + PUBLISHER_HEARTBEAT_INTERVAL,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the id of the newest revision.
    pub fn newest(&self) -> RevisionId {
        self.changes.newest()
    }

    /// Pushes a newer revision to the subscribers. Ignores other revisions.
    pub fn publish(&mut self, now: Instant, change: Arc<Change>) {
        if !self.changes.publish(change) {
            return;
        }
        let ids: Vec<_> = self.subscribers.keys().copied().collect();
        for id in ids {
            self.update(now, id);
        }
    }

    /// Handles a message of a subscriber, and returns whether its connection may
    /// stay open.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SubscriberId,
        message: SubscriberMessage,
    ) -> bool {
        if let SubscriberMessage::Hello { name, have } = message {
            return self.add_subscriber(now, from, name, have);
        }
        let Some(subscriber) = self.subscribers.get_mut(&from) else {
            return false;
        };
        subscriber.timeout_at = now + SUBSCRIBER_TIMEOUT;
        match message {
            SubscriberMessage::Ack { have, rollout } => {
                subscriber.have = have;
                subscriber.rollout = rollout;
                if subscriber.sent.is_some_and(|sent| have.revision >= sent) {
                    subscriber.sent = None;
                }
            }
            SubscriberMessage::Pull { have } => {
                subscriber.have = have;
                subscriber.sent = None;
            }
            SubscriberMessage::Hello { .. } => {}
        }
        self.update(now, from);
        true
    }

    fn add_subscriber(
        &mut self,
        now: Instant,
        id: SubscriberId,
        name: Box<str>,
        have: RevisionId,
    ) -> bool {
        if self.subscribers.len() >= self.settings.max_subscribers {
            log::warn!("refusing subscriber {name}: too many subscribers");
            return false;
        }
        let rollout = RolloutStatus::single(&name, have.revision);
        let subscriber = SubscriberState {
            name,
            have,
            rollout,
            sent: None,
            timeout_at: now + SUBSCRIBER_TIMEOUT,
        };
        self.subscribers.insert(id, subscriber);
        let newest = self.newest();
        self.send(id, PublisherMessage::Heartbeat { newest });
        true
    }

    /// Removes a subscriber whose connection is closed.
    pub fn disconnected(&mut self, id: SubscriberId) {
        self.subscribers.swap_remove(&id);
        self.waiting_for_full.shift_remove(&id);
    }

    /// Sends the newest revision to a subscriber, unless it has that revision or
    /// has not acknowledged the last update yet.
    fn update(&mut self, now: Instant, id: SubscriberId) {
        let newest = self.newest();
        let Some(subscriber) = self.subscribers.get_mut(&id) else {
            return;
        };
        if subscriber.sent.is_some() || subscriber.have.revision >= newest.revision {
            return;
        }
        let have = subscriber.have;
        let Some(update) = self.changes.delta_from(have) else {
            self.waiting_for_full.insert(id);
            return self.send_full_updates(now);
        };
        if let Some(subscriber) = self.subscribers.get_mut(&id) {
            subscriber.sent = Some(newest.revision);
        }
        self.send(id, PublisherMessage::Update(update));
    }

    /// Sends full updates to waiting subscribers as fast as the rate limit
    /// allows.
    fn send_full_updates(&mut self, now: Instant) {
        let Some(newest) = self.changes.newest_change().cloned() else {
            return;
        };
        let update = Arc::new(Update::Full(Arc::clone(&newest)));
        let rate = f64::from(self.settings.full_bytes_per_second);
        let pause = Duration::from_secs_f64(newest.text.len() as f64 / rate);
        while now >= self.next_full {
            let Some(id) = self.waiting_for_full.shift_remove_index(0) else {
                return;
            };
            let Some(subscriber) = self.subscribers.get_mut(&id) else {
                continue;
            };
            subscriber.sent = Some(newest.revision);
            self.next_full = self.next_full.max(now) + pause;
            self.send(id, PublisherMessage::Update(Arc::clone(&update)));
        }
    }

    fn send(&mut self, to: SubscriberId, message: PublisherMessage) {
        self.outputs
            .push_back(PublisherOutput::Send { to, message });
    }

    /// Handles the timeouts that have expired at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.send_full_updates(now);
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + PUBLISHER_HEARTBEAT_INTERVAL;
        let newest = self.newest();
        let mut lost = Vec::new();
        for (id, subscriber) in &self.subscribers {
            if now >= subscriber.timeout_at {
                lost.push(*id);
                continue;
            }
            let message = PublisherMessage::Heartbeat { newest };
            self.outputs
                .push_back(PublisherOutput::Send { to: *id, message });
        }
        for id in lost {
            self.disconnected(id);
            self.outputs.push_back(PublisherOutput::Close(id));
        }
    }

    /// Returns the instant at which [`Publisher::tick`] must be called next.
    pub fn next_deadline(&self) -> Instant {
        if self.waiting_for_full.is_empty() {
            return self.next_heartbeat;
        }
        self.next_heartbeat.min(self.next_full)
    }

    /// Returns the next output.
    pub fn poll_output(&mut self) -> Option<PublisherOutput> {
        self.outputs.pop_front()
    }

    /// Returns the rollout status of all VMs that are served.
    pub fn rollout_status(&self) -> RolloutStatus {
        self.subscribers
            .values()
            .fold(RolloutStatus::default(), |rollout, s| {
                rollout.merge(&s.rollout)
            })
    }

    /// Returns the name and the rollout status of each subscriber.
    pub fn subscribers(&self) -> impl Iterator<Item = (&str, &RolloutStatus)> {
        self.subscribers.values().map(|s| (&*s.name, &s.rollout))
    }
}
