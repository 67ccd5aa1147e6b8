//! Messages between publishers and subscribers.

use std::io::{Read as _, Write as _};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::{Delta, RolloutStatus};
use crate::{Change, Digest, MAX_MESSAGE_BYTES, RevisionId, TransportError, codec};

/// An update of a subscriber to a newer revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The complete change.
    Full(Arc<Change>),
    /// The difference to a revision that the subscriber has.
    Delta {
        /// The revision that the subscriber has.
        from: RevisionId,
        /// The revision that results.
        to: RevisionId,
        /// The revision that `to` is based on.
        base: RevisionId,
        /// The difference between the site files.
        delta: Delta,
    },
}

impl Update {
    /// Returns the id of the revision that results from the update.
    pub fn target(&self) -> RevisionId {
        match self {
            Self::Full(change) => change.revision_id(),
            Self::Delta { to, .. } => *to,
        }
    }

    /// Returns the new change, given the receiver's current one. Returns `None`
    /// if the update starts from another revision, or if the digest of the
    /// resulting text does not match.
    pub fn rebuild(&self, current: Option<&Arc<Change>>) -> Option<Arc<Change>> {
        let change = match self {
            Self::Full(change) => Arc::clone(change),
            Self::Delta {
                from,
                to,
                base,
                delta,
            } => {
                let current = current.filter(|current| current.revision_id() == *from)?;
                Arc::new(Change {
                    revision: to.revision,
                    digest: to.digest,
                    base: *base,
                    text: delta.apply(&current.text)?.into(),
                })
            }
        };
        (Digest::of(&change.text) == change.digest).then_some(change)
    }

    /// Returns the update encoded and compressed, for slow links.
    ///
    /// # Panics
    ///
    /// Never, as writing to memory does not fail.
    pub fn pack(&self) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        let written = encoder.write_all(&codec::encode(self));
        let packed = written.and_then(|()| encoder.finish());
        packed.expect("writing to memory does not fail")
    }

    /// Decompresses and decodes the bytes that [`Update::pack`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are malformed or decompress to more than
    /// [`MAX_MESSAGE_BYTES`].
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
    /// An update to the newest revision.
    Update(Arc<Update>),
    /// A heartbeat.
    Heartbeat {
        /// The newest revision that the publisher has.
        newest: RevisionId,
    },
}

/// A message from a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// The first message of a subscription.
    Hello {
        /// The name of the VM and its role in the rollout status.
        name: Box<str>,
        /// The revision in force at the subscriber.
        have: RevisionId,
    },
    /// Acknowledges an update or a heartbeat.
    Ack {
        /// The revision in force at the subscriber.
        have: RevisionId,
        /// The rollout status of the subscriber and the VMs that it serves.
        rollout: RolloutStatus,
    },
    /// Requests the newest revision, after an update that could not be applied or
    /// a heartbeat with a newer revision.
    Pull {
        /// The revision in force at the subscriber.
        have: RevisionId,
    },
}
