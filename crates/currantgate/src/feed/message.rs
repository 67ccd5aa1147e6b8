//! Messages of a feed.

use std::net::SocketAddr;
use std::sync::Arc;

use currantgate_control::{Revision, RevisionId, VoterId};
use currantgate_registry::Record;
use serde::{Deserialize, Serialize};

/// The path of feeds.
pub(crate) const FEED_PATH: &str = "/v1/feed";

/// The first message of a listener: who it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FeedHello {
    /// Its name, for logs.
    pub(crate) name: Box<str>,
    /// Its failure domain.
    pub(crate) domain: Box<str>,
    /// Set when it is a control VM: its id and where it listens.
    pub(crate) control: Option<(VoterId, SocketAddr)>,
}

/// A later message of a listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FeedRequest {
    /// It is still there.
    Alive {
        /// The revision that it holds.
        revision: Revision,
    },
    /// It wants the change in force.
    Change {
        /// The revision that it has at least.
        revision: Revision,
        /// What the listener holds.
        have: RevisionId,
    },
}

impl FeedRequest {
    /// Returns the revision that the listener holds.
    pub(crate) fn held(&self) -> Revision {
        match self {
            Self::Alive { revision } => *revision,
            Self::Change { have, .. } => have.revision,
        }
    }
}

/// What a control VM knows at a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Present {
    /// The newest committed revision that it knows.
    pub(crate) revision: Revision,
    /// Whether it is in contact with a quorum, so that no other revision has
    /// been in force for long.
    pub(crate) is_in_quorum: bool,
    /// Where the leader listens, if it knows.
    pub(crate) leader: Option<SocketAddr>,
    /// The control VMs that it knows.
    pub(crate) controls: Vec<SocketAddr>,
}

/// A message of a control VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FeedMessage {
    /// What it knows at the moment; also tells that it is alive.
    Present(Present),
    /// Upstreams whose record has changed since the last such message; the
    /// first has all.
    Upstreams(Vec<Record>),
    /// The change that was asked for, as [`currantgate_control::Update::pack`]
    /// returns it.
    Update(Arc<[u8]>),
}
