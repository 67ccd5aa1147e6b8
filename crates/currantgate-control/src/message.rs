//! Messages between control VMs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Term};

/// Above any term or index that can come about, and far from overflow.
const NUMBER_LIMIT: u64 = 1 << 62;

/// A message from one control VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote in `term` would be granted, without any effect.
    PreVote {
        /// The term that the sender would start.
        term: Term,
        /// The sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The term that was asked about, or the voter's own when it refuses.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term that the sender started.
        term: Term,
        /// The sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Heartbeat and replication.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        prev_index: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries that follow, if any.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// When it was sent, on the leader's clock since the leader started.
        sent: Duration,
        /// Whether the receiver is not a voter yet.
        learner: bool,
    },
    /// Answers [`Message::Append`] and [`Message::Snapshot`].
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Copied from the message that is answered.
        sent: Duration,
        /// What became of it.
        outcome: AppendOutcome,
    },
    /// One chunk of a snapshot, for a follower whose next entry is gone.
    Snapshot {
        /// The leader's term.
        term: Term,
        /// The last entry that the snapshot covers.
        last_index: Index,
        /// Where the chunk begins, in bytes.
        offset: u64,
        /// The length of the whole snapshot in bytes.
        total: u64,
        /// The blake3 digest of the whole snapshot.
        digest: [u8; 32],
        /// The chunk.
        data: Vec<u8>,
        /// When it was sent, on the leader's clock since the leader started.
        sent: Duration,
        /// Whether the receiver is not a voter yet.
        learner: bool,
    },
}

/// What became of a message of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs are alike up to this index, and synced.
    Matched(Index),
    /// The entry before the first one sent is missing or another one.
    Mismatch {
        /// The entry that was compared.
        prev_index: Index,
        /// The last entry that may be alike.
        hint: Index,
    },
    /// The chunk was taken; the next begins at `offset`.
    Chunk {
        /// The last entry that the snapshot covers.
        last_index: Index,
        /// The bytes taken so far.
        offset: u64,
    },
    /// The message is of an earlier term.
    StaleTerm,
}

impl Message {
    /// Tells whether the parts of the message fit together; a message that
    /// does not is ignored.
    pub fn is_well_formed(&self) -> bool {
        let numbers = match self {
            Self::PreVote {
                term,
                last_index,
                last_term,
            }
            | Self::Vote {
                term,
                last_index,
                last_term,
            } => [*term, *last_index, *last_term, 0],
            Self::PreVoteReply { term, .. } | Self::VoteReply { term, .. } => [*term, 0, 0, 0],
            Self::AppendReply { term, outcome, .. } => {
                let (a, b) = outcome.numbers();
                [*term, a, b, 0]
            }
            Self::Append {
                term,
                prev_index,
                prev_term,
                commit,
                ..
            } => [*term, *prev_index, *prev_term, *commit],
            Self::Snapshot {
                term,
                last_index,
                offset,
                total,
                ..
            } => [*term, *last_index, *offset, *total],
        };
        numbers.into_iter().all(|n| n < NUMBER_LIMIT) && self.parts_fit()
    }

    fn parts_fit(&self) -> bool {
        match self {
            Self::Append {
                term,
                prev_index,
                entries,
                ..
            } => entries
                .iter()
                .zip(prev_index + 1..)
                .all(|(entry, index)| entry.index == index && entry.term <= *term),
            Self::Snapshot {
                offset,
                total,
                data,
                ..
            } => offset + data.len() as u64 <= *total,
            _ => true,
        }
    }

    /// Returns the sender's term.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Snapshot { term, .. } => *term,
        }
    }
}

impl AppendOutcome {
    fn numbers(&self) -> (u64, u64) {
        match *self {
            Self::Matched(index) => (index, 0),
            Self::Mismatch { prev_index, hint } => (prev_index, hint),
            Self::Chunk { last_index, offset } => (last_index, offset),
            Self::StaleTerm => (0, 0),
        }
    }
}
