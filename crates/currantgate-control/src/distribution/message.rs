//! Messages between publishers and subscribers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Delta, Reach};
use crate::{Base, Change};

/// One revision on its way to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole change.
    Full(Arc<Change>),
    /// What differs from a revision that the subscriber has.
    Delta {
        /// The revision that the subscriber has.
        from: Base,
        /// The revision that the delta makes.
        to: Base,
        /// The revision that `to` was applied upon.
        base: Base,
        /// What differs.
        delta: Delta,
    },
}

impl Update {
    /// Returns the revision that the update makes.
    pub fn target(&self) -> Base {
        match self {
            Self::Full(change) => change.as_base(),
            Self::Delta { to, .. } => *to,
        }
    }
}

/// A message from a publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// A newer revision.
    Update(Arc<Update>),
    /// The publisher is alive, and this is the newest revision it has.
    Heartbeat {
        /// The newest revision.
        newest: Base,
    },
}

/// A message from a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// The first message: who subscribes, and what it has.
    Hello {
        /// Names the VM and its role in reports of who lags.
        name: Box<str>,
        /// The revision that is in force there.
        have: Base,
    },
    /// Acknowledges a revision, or answers a heartbeat.
    Ack {
        /// The revision that is in force there.
        have: Base,
        /// Who is behind the subscriber, itself included.
        reach: Reach,
    },
    /// Asks for the newest revision: an update did not fit what it has.
    Pull {
        /// The revision that is in force there.
        have: Base,
    },
}
