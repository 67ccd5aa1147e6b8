//! Messages between publishers and subscribers.

use std::io::{Read as _, Write as _};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::{Delta, RolloutStatus};
use crate::{Change, Digest, MAX_MESSAGE_BYTES, RevisionId, TransportError, codec};

/// One revision on its way to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole change.
    Full(Arc<Change>),
    /// What differs from a revision that the subscriber has.
    Delta {
        /// The revision that the subscriber has.
        from: RevisionId,
        /// The revision that the delta makes.
        to: RevisionId,
        /// The revision that `to` was applied upon.
        base: RevisionId,
        /// What differs.
        delta: Delta,
    },
}

impl Update {
    /// Returns the revision that the update makes.
    pub fn target(&self) -> RevisionId {
        match self {
            Self::Full(change) => change.revision_id(),
            Self::Delta { to, .. } => *to,
        }
    }

    /// Makes the change from what the receiver holds; nothing when it holds
    /// another revision or the outcome is not the one that is meant.
    pub fn rebuild(&self, held: Option<&Arc<Change>>) -> Option<Arc<Change>> {
        let change = match self {
            Self::Full(change) => Arc::clone(change),
            Self::Delta {
                from,
                to,
                base,
                delta,
            } => {
                let held = held.filter(|held| held.revision_id() == *from)?;
                Arc::new(Change {
                    revision: to.revision,
                    digest: to.digest,
                    base: *base,
                    text: delta.apply(&held.text)?.into(),
                })
            }
        };
        (Digest::of(&change.text) == change.digest).then_some(change)
    }

    /// Returns the update in as few bytes as it takes on a slow link.
    ///
    /// # Panics
    ///
    /// Never: only writing could fail, and it is to memory.
    pub fn pack(&self) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        let written = encoder.write_all(&codec::encode(self));
        let packed = written.and_then(|()| encoder.finish());
        packed.expect("writing to memory does not fail")
    }

    /// Reads what [`Update::pack`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are damaged or too many.
    pub fn unpack(packed: &[u8]) -> Result<Self, TransportError> {
        let mut bytes = Vec::new();
        let mut decoder = DeflateDecoder::new(packed).take(MAX_MESSAGE_BYTES as u64 + 1);
        decoder.read_to_end(&mut bytes)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(TransportError::TooLarge(bytes.len()));
        }
        Ok(codec::decode(&bytes)?)
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
        newest: RevisionId,
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
        have: RevisionId,
    },
    /// Acknowledges a revision, or answers a heartbeat.
    Ack {
        /// The revision that is in force there.
        have: RevisionId,
        /// Who is behind the subscriber, itself included.
        rollout: RolloutStatus,
    },
    /// Asks for the newest revision: an update did not fit what it has.
    Pull {
        /// The revision that is in force there.
        have: RevisionId,
    },
}
