//! Reads of the accepted site file.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Change, RefuseReason};

/// Whether a replica is certain to have the latest accepted revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Freshness {
    /// The replica holds the leader's lease, so no newer revision was accepted.
    #[display("present")]
    Present,
    /// Another replica may have accepted a newer revision.
    #[display("stale")]
    Stale,
}

/// The answer to a read that a quorum confirms: the change in force, `None`
/// before the first, or the reason why this replica can't serve the read.
pub type ReadAnswer = Result<Option<Arc<Change>>, RefuseReason>;

/// The accepted change on one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalRead {
    /// Whether the change is certain to be the latest.
    pub freshness: Freshness,
    /// The change, or `None` before the first.
    pub change: Option<Arc<Change>>,
}
