//! The side that gives revisions out: voters and fan-out VMs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{PublisherMessage, RecentChanges, RolloutStatus, SubscriberMessage, Update};
use crate::{Change, PUBLISHER_HEARTBEAT_INTERVAL, Revision, RevisionId};

/// Silence after which a subscriber is taken for lost.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(5);

/// Names one connection of a subscriber.
pub type SubscriberId = u64;

/// Settings of a publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Bytes a second of whole files for subscribers that have none or an old
    /// one, so that a returning failure domain is no storm.
    pub full_bytes_per_second: u32,
    /// The most subscribers that are served at a time.
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

/// What a publisher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Send a message to a subscriber.
    Send {
        /// The subscriber.
        to: SubscriberId,
        /// What it is told.
        message: PublisherMessage,
    },
    /// Close the connection of a subscriber that fell silent.
    Close(SubscriberId),
}

#[derive(Debug)]
struct Follower {
    name: Box<str>,
    have: RevisionId,
    rollout: RolloutStatus,
    /// The revision that was sent and is not acknowledged.
    sent: Option<Revision>,
    lost_at: Instant,
}

/// Pushes each revision to all subscribers, one on its way to each at a time.
#[derive(Debug)]
pub struct Publisher {
    settings: PublisherSettings,
    changes: RecentChanges,
    followers: IndexMap<SubscriberId, Follower>,
    /// Subscribers that need the whole file, in the order they asked.
    waiting: IndexSet<SubscriberId>,
    next_full: Instant,
    next_heartbeat: Instant,
    outputs: VecDeque<PublisherOutput>,
}

impl Publisher {
    /// Returns a publisher that has no revision and no subscriber.
    pub fn new(settings: PublisherSettings, now: Instant) -> Self {
        Self {
            settings,
            changes: RecentChanges::default(),
            followers: IndexMap::new(),
            waiting: IndexSet::new(),
            next_full: now,
            next_heartbeat: now + PUBLISHER_HEARTBEAT_INTERVAL,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the newest revision.
    pub fn newest(&self) -> RevisionId {
        self.changes.newest()
    }

    /// Takes a newer revision and pushes it; an older one is ignored.
    pub fn publish(&mut self, now: Instant, change: Arc<Change>) {
        if !self.changes.publish(change) {
            return;
        }
        let ids: Vec<_> = self.followers.keys().copied().collect();
        for id in ids {
            self.update(now, id);
        }
    }

    /// Takes a message of a subscriber; returns whether it may stay.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SubscriberId,
        message: SubscriberMessage,
    ) -> bool {
        if let SubscriberMessage::Hello { name, have } = message {
            return self.welcome(now, from, name, have);
        }
        let Some(follower) = self.followers.get_mut(&from) else {
            return false;
        };
        follower.lost_at = now + SUBSCRIBER_TIMEOUT;
        match message {
            SubscriberMessage::Ack { have, rollout } => {
                follower.have = have;
                follower.rollout = rollout;
                if follower.sent.is_some_and(|sent| have.revision >= sent) {
                    follower.sent = None;
                }
            }
            SubscriberMessage::Pull { have } => {
                follower.have = have;
                follower.sent = None;
            }
            SubscriberMessage::Hello { .. } => {}
        }
        self.update(now, from);
        true
    }

    fn welcome(
        &mut self,
        now: Instant,
        id: SubscriberId,
        name: Box<str>,
        have: RevisionId,
    ) -> bool {
        if self.followers.len() >= self.settings.max_subscribers {
            log::warn!("{name} is turned away: too many subscribers");
            return false;
        }
        let rollout = RolloutStatus::single(&name, have.revision);
        let follower = Follower {
            name,
            have,
            rollout,
            sent: None,
            lost_at: now + SUBSCRIBER_TIMEOUT,
        };
        self.followers.insert(id, follower);
        let newest = self.newest();
        self.send(id, PublisherMessage::Heartbeat { newest });
        true
    }

    /// Takes note that a subscriber's connection is gone.
    pub fn disconnected(&mut self, id: SubscriberId) {
        self.followers.swap_remove(&id);
        self.waiting.shift_remove(&id);
    }

    /// Sends a subscriber what it lacks, unless an update is on its way.
    fn update(&mut self, now: Instant, id: SubscriberId) {
        let newest = self.newest();
        let Some(follower) = self.followers.get_mut(&id) else {
            return;
        };
        if follower.sent.is_some() || follower.have.revision >= newest.revision {
            return;
        }
        let have = follower.have;
        let Some(update) = self.changes.delta_from(have) else {
            self.waiting.insert(id);
            return self.send_whole_files(now);
        };
        if let Some(follower) = self.followers.get_mut(&id) {
            follower.sent = Some(newest.revision);
        }
        self.send(id, PublisherMessage::Update(update));
    }

    /// Sends whole files as fast as the settings allow.
    fn send_whole_files(&mut self, now: Instant) {
        let Some(newest) = self.changes.newest_change().cloned() else {
            return;
        };
        let update = Arc::new(Update::Full(Arc::clone(&newest)));
        let rate = f64::from(self.settings.full_bytes_per_second);
        let pause = Duration::from_secs_f64(newest.text.len() as f64 / rate);
        while now >= self.next_full {
            let Some(id) = self.waiting.shift_remove_index(0) else {
                return;
            };
            let Some(follower) = self.followers.get_mut(&id) else {
                continue;
            };
            follower.sent = Some(newest.revision);
            self.next_full = self.next_full.max(now) + pause;
            self.send(id, PublisherMessage::Update(Arc::clone(&update)));
        }
    }

    fn send(&mut self, to: SubscriberId, message: PublisherMessage) {
        self.outputs
            .push_back(PublisherOutput::Send { to, message });
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.send_whole_files(now);
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + PUBLISHER_HEARTBEAT_INTERVAL;
        let newest = self.newest();
        let mut lost = Vec::new();
        for (id, follower) in &self.followers {
            if now >= follower.lost_at {
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

    /// Returns the instant at which [`Publisher::tick`] is next wanted.
    pub fn next_deadline(&self) -> Instant {
        if self.waiting.is_empty() {
            return self.next_heartbeat;
        }
        self.next_heartbeat.min(self.next_full)
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<PublisherOutput> {
        self.outputs.pop_front()
    }

    /// Returns how far revisions have come on all VMs that are served.
    pub fn rollout_status(&self) -> RolloutStatus {
        self.followers
            .values()
            .fold(RolloutStatus::default(), |rollout, f| {
                rollout.merge(&f.rollout)
            })
    }

    /// Returns the subscribers with the reach of each.
    pub fn subscribers(&self) -> impl Iterator<Item = (&str, &RolloutStatus)> {
        self.followers.values().map(|f| (&*f.name, &f.rollout))
    }
}
