//! Replacing a lost voter.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{RefuseReason, VoterId};

/// Asks to put a new voter in the place of a lost one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// The voter that is lost.
    pub lost: VoterId,
    /// The new voter; its id was never used before.
    pub fresh: VoterId,
    /// Where the new voter listens.
    pub address: SocketAddr,
}

/// What became of a [`ReplaceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceAnswer {
    /// The new voter votes and the lost one no longer does.
    Done,
    /// Nothing was changed.
    Refused(RefuseReason),
    /// The lost voter is not a voter, or the new one already is.
    WrongMembers,
    /// The leader changed meanwhile; asking again carries on.
    Unknown,
}
