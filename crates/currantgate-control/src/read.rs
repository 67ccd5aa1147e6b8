//! Reads of what is in force.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Change, RefuseReason};

/// Whether a read tells what is in force now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Freshness {
    /// The replica held the leader's lease: no newer revision was accepted.
    #[display("present")]
    Present,
    /// A newer revision may have been accepted elsewhere.
    #[display("stale")]
    Stale,
}

/// The answer to a read that a quorum confirmed: the change in force, nothing
/// before the first, or why this replica can't tell.
pub type ReadAnswer = Result<Option<Arc<Change>>, RefuseReason>;

/// The accepted site file as one replica knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalRead {
    /// Whether it is what is in force now.
    pub freshness: Freshness,
    /// The change; nothing before the first.
    pub change: Option<Arc<Change>>,
}
