//! Replacing a lost voter.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Members, RefuseReason, VoterId};

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

/// A change of the voters, one step at a time: first the new one learns the
/// log and is added, then the lost one, if any, is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterChange {
    /// The voter that is lost; nothing when the set only grows.
    pub lost: Option<VoterId>,
    /// The new voter.
    pub fresh: VoterId,
    /// Where the new voter listens.
    pub address: SocketAddr,
}

impl VoterChange {
    /// Tells whether `members` already are as the change would leave them.
    pub fn is_done(&self, members: &Members) -> bool {
        members.contains(self.fresh) && !self.lost.is_some_and(|lost| members.contains(lost))
    }
}

impl From<ReplaceRequest> for VoterChange {
    fn from(request: ReplaceRequest) -> Self {
        Self {
            lost: Some(request.lost),
            fresh: request.fresh,
            address: request.address,
        }
    }
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
