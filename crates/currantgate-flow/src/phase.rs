//! The ownership of a bucket: unowned, stable or moving.

use currantgate_config::UpstreamId;
use serde::{Deserialize, Serialize};

/// The ownership of a bucket: unowned, stable or moving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No upstream has ever owned the bucket.
    Unowned,
    /// Every flow without a record belongs to the owner.
    Stable {
        /// The upstream that receives the bucket's new flows.
        owner: UpstreamId,
    },
    /// Packets of flows without a record are forwarded to the entry that moves
    /// the bucket.
    Moving {
        /// The upstream that owned the bucket.
        from: UpstreamId,
        /// The upstream that will own it.
        to: UpstreamId,
    },
}

impl Phase {
    /// Returns the upstream that owns the bucket, or will own it after the
    /// move.
    pub(crate) fn target(self) -> Option<UpstreamId> {
        match self {
            Self::Unowned => None,
            Self::Stable { owner } => Some(owner),
            Self::Moving { to, .. } => Some(to),
        }
    }

    /// Returns whether the bucket is not moving. An unowned bucket counts as
    /// stable.
    pub(crate) fn is_stable(self) -> bool {
        !matches!(self, Self::Moving { .. })
    }
}
