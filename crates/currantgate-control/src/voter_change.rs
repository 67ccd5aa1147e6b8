//! Requests to change the voters, and their answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Members, RefuseReason, VoterId};

/// A request to replace a lost voter by a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// The lost voter.
    pub lost: VoterId,
    /// The new voter, whose id was never used before.
    pub fresh: VoterId,
    /// The address at which the new voter listens.
    pub address: SocketAddr,
}

/// A change of the voters, made in single steps: the new voter receives the log
/// as a learner, it is added, and then the lost one, if any, is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterChange {
    /// The lost voter, or `None` if a voter is only added.
    pub lost: Option<VoterId>,
    /// The new voter.
    pub fresh: VoterId,
    /// The address at which the new voter listens.
    pub address: SocketAddr,
}

impl VoterChange {
    /// Returns whether `members` contains the new voter and not the lost one.
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

/// The answer to a [`ReplaceRequest`] or a [`VoterChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceAnswer {
    /// The new voter is added and the lost one removed.
    Done,
    /// Nothing was changed.
    Refused(RefuseReason),
    /// The lost voter is not a voter, or the new one already is.
    WrongMembers,
    /// The replica stopped leading, or the change was cancelled, before it was
    /// complete. The same request can be sent again to complete it.
    Unknown,
}
