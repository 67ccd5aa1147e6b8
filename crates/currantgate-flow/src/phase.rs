//! Whether a bucket is at rest or on its way to another upstream.

use currantgate_config::UpstreamId;
use serde::{Deserialize, Serialize};

/// Whether a bucket is at rest or on its way to another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No upstream has ever had the bucket.
    Unowned,
    /// Every flow without a record belongs to the owner.
    Stable {
        /// The upstream that gets the bucket's new flows.
        owner: UpstreamId,
    },
    /// Flows without a record are handed to the entry that moves the bucket.
    Moving {
        /// The upstream that had the bucket.
        from: UpstreamId,
        /// The upstream that is to have it.
        to: UpstreamId,
    },
}

impl Phase {
    /// Returns the upstream that has the bucket, or is to have it.
    pub(crate) fn target(self) -> Option<UpstreamId> {
        match self {
            Self::Unowned => None,
            Self::Stable { owner } => Some(owner),
            Self::Moving { to, .. } => Some(to),
        }
    }

    /// Tells whether the bucket is at rest.
    pub(crate) fn is_stable(self) -> bool {
        !matches!(self, Self::Moving { .. })
    }
}
